// The two timers of the decision module and their intervals.
#pragma once

#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Runs a pass over all endpoints: health checks, polling of the endpoint list, migration.
inline constexpr TimerToken kEndpointTimer{0};
// Runs a pass over the requests without a connection; set only while there are such requests.
inline constexpr TimerToken kRequestTimer{1};

// Both intervals are at least the resolution of the events (Settings::eventResolution).
Micros endpointTimerInterval(const Settings& settings);
Micros requestTimerInterval(const Settings& settings);

}  // namespace ivyreel
