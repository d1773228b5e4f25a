// The error type of invalid settings.
#pragma once

#include <stdexcept>
#include <string>

namespace ivyreel {

class SettingsError : public std::runtime_error {
  public:
    // `location`: where the error is, usually the path of the key, such as "grades[0].giveUp".
    SettingsError(const std::string& location, const std::string& reason)
        : std::runtime_error("bad settings at " + location + ": " + reason), location_(location) {}

    const std::string& location() const { return location_; }

  private:
    std::string location_;
};

}  // namespace ivyreel
