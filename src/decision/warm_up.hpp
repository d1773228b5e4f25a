// How far an endpoint has warmed up since its start, according to the slow-start settings.
//
// The capacity of an endpoint rises linearly from slowStartInitialShare of its full capacity to all of it,
// over slowStartDuration.
#pragma once

#include <algorithm>

#include "decision/duration_arithmetic.hpp"
#include "decision/endpoint.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// The part of the endpoint's slow start that has passed at the time `at`, 0 to 1. It is 1 if the start time
// is unknown or slow start is off.
inline double warmUpProgress(const Endpoint& endpoint, const OperatingLimits& limits, Time at) {
    if (endpoint.entry.startedAt <= Time{0} || limits.slowStartDuration <= Micros{0}) return 1.0;
    return std::clamp(seconds(at - endpoint.warmingUpSince) / seconds(limits.slowStartDuration), 0.0, 1.0);
}

// The part of its full capacity that the endpoint has now, slowStartInitialShare to 1.
inline double warmUpShare(const Endpoint& endpoint, const OperatingLimits& limits, Time now) {
    return limits.slowStartInitialShare +
           (1.0 - limits.slowStartInitialShare) * warmUpProgress(endpoint, limits, now);
}

inline bool isWarmingUp(const Endpoint& endpoint, const OperatingLimits& limits, Time now) {
    return warmUpProgress(endpoint, limits, now) < 1.0;
}

}  // namespace ivyreel
