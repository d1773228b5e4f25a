#include "node/descriptor_limit.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace ivyreel {

std::size_t effectiveDescriptorLimit(std::size_t configured) {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return configured;
    const auto system = static_cast<std::size_t>(limit.rlim_cur);
    return configured == 0 ? system : std::min(configured, system);
}

}  // namespace ivyreel
