// Places requests at endpoints: starts attempts, keeps requests waiting for a load report or for spare
// capacity, and gives their final answers.
#pragma once

#include "decision/decision_state.hpp"
#include "decision/request.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Which of the waiting requests are placed again.
enum class RetryScope {
    // All but those that still await a load report. Used when an endpoint may be usable again, or have spare
    // capacity.
    AllExceptAwaitingReport,
    PollResolved,  // only those whose awaited load report has arrived, or can no longer arrive
};

// Starts an attempt, keeps the request waiting, or gives its final answer. The final answer erases the
// request, which invalidates the reference.
void placeRequest(DecisionState& state, RequestId id, Request& request, EventContext eventContext);
// Places the requests of the scope that have no attempt outstanding again.
void retryWaitingRequests(DecisionState& state, RetryScope scope, EventContext eventContext);
// Gives the final answer to unconnected requests whose final-answer deadline has passed.
void finishExpiredRequests(DecisionState& state, EventContext eventContext);
// Gives the final answer of this node and erases the request: a rejection if the request may be rejected, a
// failure otherwise. Cancels an outstanding attempt if the settings allow that. Erasing the request
// invalidates the reference. No other function gives final answers.
void finishRequest(DecisionState& state, RequestId id, const Request& request, EventContext eventContext);
// Sets the request timer if it is needed and not set.
void setRequestTimer(DecisionState& state, EventContext eventContext);

}  // namespace ivyreel
