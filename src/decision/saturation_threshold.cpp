#include "decision/saturation_threshold.hpp"

#include <algorithm>
#include <cmath>

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

// Load over capacity, except for the last constant.
constexpr double kInitial = 0.75;          // with affinity groups
constexpr double kMin = 0.6;               // a lower threshold would waste a third of the fleet
constexpr double kMax = 0.9;               // reports lag behind the load by one fluctuation or more
constexpr double kRelevantDistance = 0.1;  // loads further away carry no information on the threshold
constexpr double kStepDown = 0.01;         // for a report with late messages
constexpr double kStepUp = 0.001;  // for a report without; one late report in eleven balances the steps
constexpr double kAvailabilityDiscount = 0.25;  // times availabilityWeight: a few late messages cost much
constexpr Micros kLateMessageMemory = 1700ms;   // a health check interval plus the lag of a report

}  // namespace

SaturationThreshold::SaturationThreshold(const Settings& settings) : value_(initial(settings)) {}

// With affinity groups, endpoints may get members up to the threshold plus the tolerance. Without groups, the
// threshold itself starts higher by the tolerance.
double SaturationThreshold::initial(const Settings& settings) {
    const double tolerance = settings.groupAffinity ? 0.0 : kTolerance;
    return kInitial + tolerance - kAvailabilityDiscount * settings.availabilityWeight;
}

void SaturationThreshold::learn(const Endpoint& endpoint, Time now) {
    if (endpoint.connectionsFromThisNode == 0) return;
    if (std::abs(endpoint.loadOverCapacity - value_) > kRelevantDistance) return;
    const bool late = now - endpoint.lastLateMessageAt < kLateMessageMemory;
    value_ = std::clamp(value_ + (late ? -kStepDown : kStepUp), kMin, kMax);
}

void SaturationThreshold::changeSettings(const Settings& before, const Settings& after) {
    value_ -= initial(before);
    value_ += initial(after);
}

}  // namespace ivyreel
