// Reads one object of a JSON document. Every error names the path of the key whose value is invalid.
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

// The accessors return the fallback if a key is absent or null. They throw SettingsError if a value has
// another type or is out of range. The document must outlive the reader.
class SectionReader {
  public:
    // Larger numbers are rejected as mistakes: in microseconds, this limit is 32 years.
    static constexpr double kMaxNumber = 1e15;

    // `path`: the path of the object in the document, such as "bounds" or "grades[2]"; empty for the document
    // itself.
    SectionReader(const nlohmann::json& object, std::string path);

    bool has(const char* key) const { return find(key) != nullptr; }
    double number(const char* key, double fallback, double minimum = -kMaxNumber,
                  double maximum = kMaxNumber) const;
    Micros micros(const char* key, Micros fallback, double minimum = 0.0) const;
    // A fraction is truncated: 2.7 counts as 2.
    std::uint32_t count(const char* key, std::uint32_t fallback, std::uint32_t minimum = 0,
                        std::uint32_t maximum = UINT32_MAX) const;
    bool flag(const char* key, bool fallback) const;
    // Empty if the key is absent or null.
    std::string text(const char* key) const;
    // The value that `choices` pairs with the string at this key.
    template <class T>
    T choice(const char* key, T fallback, std::initializer_list<std::pair<const char*, T>> choices) const;

    // If the key is absent, the section is empty.
    SectionReader section(const char* key) const;
    std::vector<SectionReader> sections(const char* key) const;
    std::vector<std::string> strings(const char* key) const;
    // The element at `index` of an array of non-negative numbers; the fallback if the array has no such
    // element or the element is null.
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
    throw SettingsError(pathOf(key), "unknown value \"" + word + "\"");
}

}  // namespace ivyreel
