// Applies a load report to the state of its endpoint.
#pragma once

#include "decision/endpoint.hpp"
#include "decision/events.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Sets the active requests, to 0 if the report does not state them. If the report states the load over
// capacity or, in its place, the CPU utilisation, sets the load, the utilisation and the time of the report,
// removes the sends that the report includes from the recent sends, and returns true.
bool applyLoadReport(Endpoint& endpoint, const LoadReport& report, Time now);

}  // namespace ivyreel
