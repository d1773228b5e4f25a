// Brings requests to endpoints: starts attempts, lets requests wait for a report or for spare capacity, and
// gives their final answers.
#pragma once

#include "decision/decision_state.hpp"
#include "decision/request.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Which of the requests that wait to try anew.
enum class RetryScope {
    All,           // an endpoint may have come back, or have spare capacity
    PollResolved,  // only those that wait for a report which has come, or cannot come any more
};

// Starts an attempt, lets the request wait, or gives its final answer. The request may be gone afterwards.
void placeRequest(DecisionState& state, RequestId id, Request& request, Step step);
// Places those that have no attempt outstanding anew.
void retryWaitingRequests(DecisionState& state, RetryScope scope, Step step);
// Gives the final answer to requests whose last moment has come.
void finishExpiredRequests(DecisionState& state, Step step);
// The one place where a request gets its final answer from the node: rejected, or else failed.
void finishRequest(DecisionState& state, RequestId id, const Request& request, Step step);
// Sets the request timer if it is needed and not set.
void setRequestTimer(DecisionState& state, Step step);

}  // namespace ivyreel
