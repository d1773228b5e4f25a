#include "proxy/descriptor_budget.hpp"

#include <algorithm>

namespace ivyreel {

namespace {

constexpr std::size_t kUnopenedShareDivisor = 6;   // unopened connections get one descriptor in six
constexpr std::size_t kDescriptorsPerRequest = 2;  // downstream and upstream
// For discovery, new health checks, the connections of one accept batch, and descriptors that the scheduler
// does not watch.
constexpr std::size_t kReservedDescriptors = 16;

}  // namespace

std::size_t DescriptorBudget::maxUnopened() const {
    return std::max<std::size_t>(1, limit_ / kUnopenedShareDivisor);
}

bool DescriptorBudget::admitsRequest() {
    if (full()) healthChecker_.closeIdle();
    return !full();
}

// Each pending request counts as one more descriptor, for the upstream connection that it may not have yet.
// The unopened connections count with their whole share instead of their number.
bool DescriptorBudget::full() const {
    const std::size_t inUse = scheduler_.watchedDescriptorCount() + active_.pending.size() - unopened_.size();
    return inUse + maxUnopened() + kDescriptorsPerRequest + kReservedDescriptors > limit_;
}

}  // namespace ivyreel
