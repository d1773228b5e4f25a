#include "decision/timers.hpp"

#include <algorithm>

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr Micros kEndpointTimerInterval = 100ms;  // well below the interval at which load reports change
constexpr Micros kRequestTimerInterval = 20ms;    // far below any latency objective, and cheap

}  // namespace

Micros endpointTimerInterval(const Settings& settings) {
    return std::max(kEndpointTimerInterval, settings.eventResolution);
}

Micros requestTimerInterval(const Settings& settings) {
    return std::max(kRequestTimerInterval, settings.eventResolution);
}

}  // namespace ivyreel
