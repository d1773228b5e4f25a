#include "config/section_reader.hpp"

#include <cmath>

namespace ivyreel {

namespace {

using Json = nlohmann::json;

double numberIn(const Json& value, double minimum, double maximum, const std::string& path) {
    if (!value.is_number()) throw SettingsError(path, "expected a number");
    const auto number = value.get<double>();
    const bool inRange = number >= minimum && number <= maximum;
    if (!inRange)
        throw SettingsError(path, "out of range: expected a number from " + Json(minimum).dump() + " to " +
                                      Json(maximum).dump() + ", got " + value.dump());
    return number;
}

std::string stringIn(const Json& value, const std::string& path) {
    if (!value.is_string()) throw SettingsError(path, "expected a string");
    return value.get<std::string>();
}

}  // namespace

SectionReader::SectionReader(const Json& object, std::string path)
    : object_(&object), path_(std::move(path)) {
    if (!object.is_object()) throw SettingsError(path_, "expected an object");
}

double SectionReader::number(const char* key, double fallback, double minimum, double maximum) const {
    const Json* value = find(key);
    return value == nullptr ? fallback : numberIn(*value, minimum, maximum, pathOf(key));
}

Micros SectionReader::micros(const char* key, Micros fallback, double minimum) const {
    const double value = number(key, static_cast<double>(fallback.count()), minimum);
    return Micros{static_cast<Micros::rep>(std::llround(value))};
}

std::uint32_t SectionReader::count(const char* key, std::uint32_t fallback, std::uint32_t minimum,
                                   std::uint32_t maximum) const {
    return static_cast<std::uint32_t>(number(key, fallback, minimum, maximum));
}

bool SectionReader::flag(const char* key, bool fallback) const {
    const Json* value = find(key);
    if (value == nullptr) return fallback;
    if (!value->is_boolean()) throw SettingsError(pathOf(key), "expected true or false");
    return value->get<bool>();
}

std::string SectionReader::text(const char* key) const {
    const Json* value = find(key);
    return value == nullptr ? std::string() : stringIn(*value, pathOf(key));
}

SectionReader SectionReader::section(const char* key) const {
    static const Json kEmpty = Json::object();
    const Json* value = find(key);
    return SectionReader{value == nullptr ? kEmpty : *value, pathOf(key)};
}

std::vector<SectionReader> SectionReader::sections(const char* key) const {
    std::vector<SectionReader> result;
    for (const Json& element : list(key)) {
        result.emplace_back(element, pathOf(key, result.size()));
    }
    return result;
}

std::vector<std::string> SectionReader::strings(const char* key) const {
    std::vector<std::string> result;
    for (const Json& element : list(key)) {
        result.push_back(stringIn(element, pathOf(key, result.size())));
    }
    return result;
}

double SectionReader::numberAt(const char* key, std::size_t index, double fallback) const {
    const Json& values = list(key);
    if (index >= values.size() || values[index].is_null()) return fallback;
    return numberIn(values[index], 0.0, kMaxNumber, pathOf(key, index));
}

std::string SectionReader::pathOf(const char* key) const {
    return path_.empty() ? key : path_ + "." + key;
}

std::string SectionReader::pathOf(const char* key, std::size_t index) const {
    return pathOf(key) + "[" + std::to_string(index) + "]";
}

const Json* SectionReader::find(const char* key) const {
    const auto found = object_->find(key);
    return found == object_->end() || found->is_null() ? nullptr : &*found;
}

const Json& SectionReader::list(const char* key) const {
    static const Json kEmpty = Json::array();
    const Json* value = find(key);
    if (value == nullptr) return kEmpty;
    if (!value->is_array()) throw SettingsError(pathOf(key), "expected an array");
    return *value;
}

}  // namespace ivyreel
