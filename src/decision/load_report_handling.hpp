// Applies a load report to the state of its endpoint.
#pragma once

#include "decision/endpoint.hpp"
#include "decision/events.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Sets the utilisation to the reported load over capacity, or to the CPU utilisation if that is not reported.
// Returns whether the report states either. If so, sends that the report includes are removed from the recent
// sends.
bool applyLoadReport(Endpoint& endpoint, const LoadReport& report, Time now);

}  // namespace ivyreel
