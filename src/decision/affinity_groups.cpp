#include "decision/affinity_groups.hpp"

#include <algorithm>
#include <cmath>

namespace ivyreel {
namespace {

constexpr double kMinEndpoints = 2.0;     // one endpoint may be lost
constexpr double kEndpointsMargin = 3.0;  // times what a group fills alone: others share the endpoints
constexpr double kPriorPairs = 40.0;      // assumed pairs of arrivals, one of them of the same group
// Number of groups at which the arrival counts are reset, to forget ended groups and to bound memory.
constexpr std::size_t kMaxCountedGroups = 4096;

}  // namespace

void AffinityGroups::recordArrival(GroupId group) {
    if (arrivalsByGroup_.size() >= kMaxCountedGroups) {
        arrivalsByGroup_.clear();
        sameGroupPairs_ = 0.0;
        arrivals_ = 0.0;
    }
    int& arrivalsOfGroup = arrivalsByGroup_[group];
    sameGroupPairs_ += 2.0 * arrivalsOfGroup;
    ++arrivalsOfGroup;
    ++arrivals_;
}

void AffinityGroups::changeConnections(GroupId group, EndpointId endpoint, int change) {
    int& count = connectionCounts_[{group, endpoint}];
    count += change;
    if (count <= 0) connectionCounts_.erase({group, endpoint});
}

int AffinityGroups::ConnectionCountCursor::countAt(EndpointId endpoint) {
    const std::pair wanted(group_, endpoint);
    while (position_ != connectionCounts_->end() && position_->first < wanted)
        ++position_;
    return position_ != connectionCounts_->end() && position_->first == wanted ? position_->second : 0;
}

std::ptrdiff_t AffinityGroups::endpointsPerGroup(std::size_t endpointCount) const {
    const double pairs = arrivals_ * (arrivals_ - 1.0);
    const double sameGroupProbability = (sameGroupPairs_ + 1.0) / (pairs + kPriorPairs);
    const double endpointsFilled =
        kEndpointsMargin * sameGroupProbability * static_cast<double>(endpointCount);
    return static_cast<std::ptrdiff_t>(std::ceil(std::max(kMinEndpoints, endpointsFilled)));
}

}  // namespace ivyreel
