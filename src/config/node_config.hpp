// The configuration of a node: environment variables, and the JSON file that RELAY_CONFIG names.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "config/config_error.hpp"
#include "config/settings_parser.hpp"
#include "io/socket.hpp"
#include "membership/membership_watcher.hpp"

namespace ivyreel {

struct Config {
    std::string name;
    Address listen;
    Address discovery;
    std::optional<Address> adminAddress;  // none: the node has no admin server
    std::size_t descriptorLimit = 0;      // limit of open descriptors; 0: no limit is configured
    MembershipUpdate knownEndpoints;      // the last known endpoint list
    NodeSettings settings;
    // The settings say "push". The node polls the endpoint list nevertheless, but waits for the first call to
    // discovery before it serves, and has to apply a change of the list within the drain grace period.
    bool pushModeConfigured = false;
    std::string text;  // of the configuration file
};

// At startup the environment overrides the file. At a reload the discovery address in the file overrides the
// environment, because the file is newer.
enum class ConfigReadMode { Startup, Reload };

// Reads the file that RELAY_CONFIG names. Throws ConfigError or SettingsError.
Config readConfig(ConfigReadMode mode = ConfigReadMode::Startup);
Config parseConfig(const std::string& text, ConfigReadMode mode = ConfigReadMode::Startup);

// The path of a key that the current configuration file has and the next one lacks: a reloaded file without
// that key is incomplete. The first such key in alphabetical order; none if only optional keys are missing.
std::optional<std::string> firstMissingKey(const Config& next, const Config& current);

}  // namespace ivyreel
