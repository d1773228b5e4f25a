// Reads one object of a JSON document. Every error names the path of the key that it is about.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "config/settings_error.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// A key that is absent or null has its fallback. All accessors throw SettingsError for a value of another
// type, and for one that is out of range. The document must outlive the reader.
class SectionReader {
  public:
    // Larger numbers are taken for mistakes: as microseconds, this is 32 years.
    static constexpr double kMaxNumber = 1e15;

    // `path`: of the object in the document, such as "bounds" or "grades[2]"; empty for the document itself.
    SectionReader(const nlohmann::json& object, std::string path);

    bool has(const char* key) const { return find(key) != nullptr; }
    double number(const char* key, double fallback, double minimum = -kMaxNumber,
                  double maximum = kMaxNumber) const;
    Micros micros(const char* key, Micros fallback, double minimum = 0.0) const;
    std::uint32_t count(const char* key, std::uint32_t fallback, std::uint32_t minimum = 0,
                        std::uint32_t maximum = UINT32_MAX) const;
    bool flag(const char* key, bool fallback) const;
    // Empty if it is absent.
    std::string text(const char* key) const;
    // The value that stands beside the word in the list.
    template <class T>
    T choice(const char* key, T fallback, std::initializer_list<std::pair<const char*, T>> choices) const;

    // An absent section reads as an empty one.
    SectionReader section(const char* key) const;
    std::vector<SectionReader> sections(const char* key) const;
    std::vector<std::string> strings(const char* key) const;
    // An element of a list of numbers that are not negative; the fallback where the list ends before it.
    double numberAt(const char* key, std::size_t index, double fallback) const;

    // The path of a key in the document.
    std::string pathOf(const char* key) const;

  private:
    const nlohmann::json* find(const char* key) const;
    const nlohmann::json& list(const char* key) const;
    std::string pathOf(const char* key, std::size_t index) const;

    const nlohmann::json* object_;
    std::string path_;
};

template <class T>
T SectionReader::choice(const char* key, T fallback,
                        std::initializer_list<std::pair<const char*, T>> choices) const {
    if (!has(key)) return fallback;
    const std::string word = text(key);
    for (const auto& [name, value] : choices) {
        if (word == name) return value;
    }
    throw SettingsError(pathOf(key), "unknown word \"" + word + "\"");
}

}  // namespace ivyreel
