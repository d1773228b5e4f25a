// The error type of an invalid node configuration.
#pragma once

#include <stdexcept>
#include <string>

namespace ivyreel {

class ConfigError : public std::runtime_error {
  public:
    // `location`: where the error is, usually the path of the key, such as "limits.sockets".
    ConfigError(const std::string& location, const std::string& reason)
        : std::runtime_error("bad configuration at " + location + ": " + reason), location_(location) {}

    const std::string& location() const { return location_; }

  private:
    std::string location_;
};

}  // namespace ivyreel
