// The limit of open descriptors of the process.
#pragma once

#include <cstddef>

namespace ivyreel {

// Returns the lower of the configured limit and the system's limit (RLIMIT_NOFILE). `configured` is 0 if
// there is no configured limit.
std::size_t effectiveDescriptorLimit(std::size_t configured);

}  // namespace ivyreel
