// Reloads the configuration of a running node.
#pragma once

#include "config/node_config.hpp"

namespace ivyreel {

struct ReloadedConfig {
    Config config;
    // True if the file changes the name or a listening address. A running node cannot change these, so
    // `config` keeps the current values.
    bool restartNeeded = false;
};

// Reads the configuration file again. Throws ConfigError or SettingsError if the file is invalid, or lacks a
// key that the current configuration has.
ReloadedConfig reloadConfig(const Config& current);

// Whether readConfig() accepts the configuration file and the file differs from the current configuration.
// reloadConfig() still rejects such a file if it lacks a key that the current configuration has.
bool configFileChanged(const Config& current);

}  // namespace ivyreel
