#include "config/node_config.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>

#include "util/number_parsing.hpp"

namespace ivyreel {

namespace {

using Json = nlohmann::json;

constexpr int kSeedBase = 16;

// Keys that the settings of some deployments have and those of others lack. Deployments without these keys
// rely on the defaults, so a reloaded file that lacks them is not incomplete.
constexpr std::array<std::string_view, 3> kOptionalKeys = {
    "settings.goal.availability",
    "settings.goal.topNines",
    "settings.grades.aimStretch",
};

// The last known endpoint list. Its entries change, so a reload does not compare their keys.
constexpr std::string_view kKnownListKey = "known";

Json parseDocument(const std::string& text) {
    try {
        return Json::parse(text);
    } catch (const Json::parse_error& error) {
        throw ConfigError("byte " + std::to_string(error.byte), "not JSON");
    } catch (const Json::exception& error) {
        throw ConfigError("the document", std::string("not JSON that can be parsed: ") + error.what());
    }
}

// The value of a key; nullptr if it is absent or null.
const Json* find(const Json& object, const char* key) {
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::string textOf(const Json& document, const char* key, const std::string& fallback = {}) {
    const Json* value = find(document, key);
    if (value == nullptr) return fallback;
    if (!value->is_string()) throw ConfigError(key, "expected a string");
    return value->get<std::string>();
}

std::string fromEnvironment(const char* variable, const std::string& fallback) {
    const char* value = std::getenv(variable);
    return value == nullptr || *value == '\0' ? fallback : value;
}

Address parseAddress(const std::string& text, const char* key) {
    const auto address = Address::parse(text);
    if (!address) throw ConfigError(key, "not an address of the form 127.0.0.1:8080: \"" + text + "\"");
    return *address;
}

std::optional<Address> adminAddressOf(const Json& document) {
    const std::string text = fromEnvironment("RELAY_CONSOLE", textOf(document, "console"));
    if (text.empty()) return std::nullopt;
    return parseAddress(text, "console");
}

Address discoveryOf(const Json& document, ConfigReadMode mode) {
    const std::string inFile = textOf(document, "discovery");
    const bool fileOverrides = mode == ConfigReadMode::Reload && !inFile.empty();
    const std::string text = fileOverrides ? inFile : fromEnvironment("RELAY_DISCOVERY", inFile);
    return parseAddress(text, "discovery");
}

// Returns 0 if the configuration has no limit.
std::size_t descriptorLimitOf(const Json& document) {
    const Json* limits = find(document, "limits");
    const Json* sockets = limits == nullptr ? nullptr : find(*limits, "sockets");
    if (sockets == nullptr) return 0;
    if (!sockets->is_number_unsigned() || sockets->get<std::size_t>() == 0)
        throw ConfigError("limits.sockets", "expected a positive integer");
    return sockets->get<std::size_t>();
}

MembershipUpdate knownListOf(const Json& document) {
    const Json* known = find(document, "known");
    if (known == nullptr) return {};
    try {
        return MembershipUpdate::parse(known->dump());
    } catch (const std::exception& error) {
        throw ConfigError("known", error.what());
    }
}

NodeSettings settingsOf(const Json& document) {
    const Json* settings = find(document, "settings");
    if (settings == nullptr) throw ConfigError("settings", "missing");
    return parseSettings(settings->dump());
}

std::uint64_t seedOf(const Json& document) {
    const std::string text = textOf(document, "seed", "0");
    const auto seed = parseNumber<std::uint64_t>(text, kSeedBase);
    if (!seed) throw ConfigError("seed", "not a hexadecimal number of at most 64 bits: \"" + text + "\"");
    return *seed;
}

// The keys of an object whose values are not null.
std::set<std::string> keysOfObject(const Json& object) {
    std::set<std::string> keys;
    if (!object.is_object()) return keys;
    for (const auto& [key, value] : object.items()) {
        if (!value.is_null()) keys.insert(key);
    }
    return keys;
}

// The keys of an object, or the keys that all objects of an array have; values that are null do not count.
std::set<std::string> keysOf(const Json& value) {
    if (!value.is_array() || value.empty()) return keysOfObject(value);
    std::set<std::string> common = keysOfObject(value.front());
    for (const Json& element : value) {
        const std::set<std::string> keys = keysOfObject(element);
        std::erase_if(common, [&keys](const std::string& key) { return !keys.contains(key); });
    }
    return common;
}

std::string childPath(const std::string& path, const std::string& key) {
    std::string result = path;
    if (!result.empty()) result += '.';
    return result += key;
}

bool isOptional(const std::string& path) {
    return std::find(kOptionalKeys.begin(), kOptionalKeys.end(), path) != kOptionalKeys.end();
}

std::optional<std::string> firstMissingKey(const Json& next, const Json& current, const std::string& path) {
    const std::set<std::string> nextKeys = keysOf(next);
    for (const std::string& key : keysOf(current)) {
        const std::string keyPath = childPath(path, key);
        if (!nextKeys.contains(key)) {
            if (isOptional(keyPath)) continue;
            return keyPath;
        }
        if (!current.is_object() || keyPath == kKnownListKey) continue;
        if (auto missing = firstMissingKey(next.at(key), current.at(key), keyPath)) return missing;
    }
    return std::nullopt;
}

}  // namespace

Config parseConfig(const std::string& text, ConfigReadMode mode) {
    const Json document = parseDocument(text);
    if (!document.is_object()) throw ConfigError("the document", "expected an object");
    Config config;
    config.name = fromEnvironment("RELAY_NAME", textOf(document, "name", "node"));
    config.listen = parseAddress(fromEnvironment("RELAY_LISTEN", textOf(document, "listen")), "listen");
    config.adminAddress = adminAddressOf(document);
    config.discovery = discoveryOf(document, mode);
    config.descriptorLimit = descriptorLimitOf(document);
    config.knownEndpoints = knownListOf(document);
    config.settings = settingsOf(document);
    config.settings.settings.seed = seedOf(document);
    config.text = text;
    // Discovery does not open connections to the node to push the list: without polling, the watch would
    // neither begin nor begin again after its connection fails.
    config.pushModeConfigured = config.settings.settings.discoveryMode == DiscoveryMode::Push;
    config.settings.settings.discoveryMode = DiscoveryMode::Poll;
    return config;
}

Config readConfig(ConfigReadMode mode) {
    const std::string path = fromEnvironment("RELAY_CONFIG", "");
    if (path.empty())
        throw ConfigError("RELAY_CONFIG",
                          "the environment variable must be set to the path of the configuration file");
    std::ifstream file(path, std::ios::binary);
    if (!file) throw ConfigError(path, "the file cannot be read");
    return parseConfig({std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()}, mode);
}

std::optional<std::string> firstMissingKey(const Config& next, const Config& current) {
    return firstMissingKey(Json::parse(next.text), Json::parse(current.text), "");
}

}  // namespace ivyreel
