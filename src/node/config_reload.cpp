#include "node/config_reload.hpp"

#include <exception>
#include <optional>
#include <string>

#include "node/descriptor_limit.hpp"

namespace ivyreel {

namespace {

bool hasSameIdentity(const Config& next, const Config& current) {
    return next.name == current.name && next.listen == current.listen &&
           next.adminAddress == current.adminAddress;
}

}  // namespace

ReloadedConfig reloadConfig(const Config& current) {
    ReloadedConfig result{readConfig(ConfigReadMode::Reload)};
    Config& next = result.config;
    if (const auto key = firstMissingKey(next, current))
        throw ConfigError(*key, "this key is missing, but the current configuration has it");
    result.restartNeeded = !hasSameIdentity(next, current);
    next.name = current.name;
    next.listen = current.listen;
    next.adminAddress = current.adminAddress;
    next.descriptorLimit = effectiveDescriptorLimit(next.descriptorLimit);
    return result;
}

bool configFileChanged(const Config& current) {
    try {
        return readConfig(ConfigReadMode::Reload).text != current.text;
    } catch (const std::exception&) {
        return false;
    }
}

}  // namespace ivyreel
