// The error type of hot restart.
#pragma once

#include <stdexcept>

namespace ivyreel {

// The other process has sent data that is malformed, inconsistent or of another version.
class HandoverError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

}  // namespace ivyreel
