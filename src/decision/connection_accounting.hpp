// Adds this node's attempts and open connections to the counters of their endpoint, tenant and affinity
// group, and removes them again. The removal also covers the recent sends and the send rate, to which
// request_placement adds an attempt.
#pragma once

#include "decision/decision_state.hpp"
#include "decision/request.hpp"

namespace ivyreel {

// Adds an attempt or a resumed connection to the counters of its target endpoint, tenant and affinity group.
// Each one must be added once and removed once.
void addToConnectionCounts(DecisionState& state, const Request& request);
// Removes an attempt or a connection that addToConnectionCounts added.
void removeFromConnectionCounts(DecisionState& state, const Request& request);

}  // namespace ivyreel
