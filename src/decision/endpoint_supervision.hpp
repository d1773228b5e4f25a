// Starts health checks of endpoints, processes their load reports, and migrates connections off endpoints
// that are overloaded, unresponsive or draining.
#pragma once

#include "decision/decision_state.hpp"
#include "decision/endpoint.hpp"
#include "decision/events.hpp"

namespace ivyreel {

void startDueHealthChecks(DecisionState& state, EventContext eventContext);
// Precondition: no health check of the endpoint is outstanding.
void startHealthCheck(DecisionState& state, Endpoint& endpoint, EventContext eventContext);

// Updates the endpoint and all estimates from a load report, and migrates connections off the endpoint if it
// is overloaded. Migration erases the migrated requests from the request table.
void processLoadReport(DecisionState& state, Endpoint& endpoint, const LoadReport& report,
                       EventContext eventContext);

// Migrates connections off unresponsive and draining endpoints; runs in each pass of the endpoint timer.
void evacuateEndpoints(DecisionState& state, EventContext eventContext);

}  // namespace ivyreel
