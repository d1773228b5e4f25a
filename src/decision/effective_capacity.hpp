// The present capacity of an endpoint, as a factor of the capacity of a typical endpoint of its size. It is
// lower while the endpoint is warming up, and if the endpoint is slow.
#pragma once

#include "decision/endpoint.hpp"
#include "decision/outlier_detection.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"
#include "decision/warm_up.hpp"

namespace ivyreel {

inline double effectiveCapacity(const Endpoint& endpoint, const Settings& settings, Time now) {
    return warmUpShare(endpoint, settings.operatingLimits, now) /
           (isSlow(endpoint, settings.groupAffinity) ? slowdownOf(endpoint) : 1.0);
}

}  // namespace ivyreel
