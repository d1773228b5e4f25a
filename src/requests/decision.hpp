// The decisions that the decision engine makes for a request, and the callback interface for the request's
// owner.
#pragma once

#include <variant>

#include "decision/types.hpp"

namespace ivyreel {

// Start an attempt at this endpoint.
struct ForwardTo {
    EndpointId endpoint{};
    Micros timeout{0};  // of the attempt
};

// Reject the request; the client may retry.
struct Rejection {
    Micros retryAfter{0};  // recommended delay before the retry; 0: none
};

// The request has failed.
struct RequestFailure {};

using Decision = std::variant<ForwardTo, Rejection, RequestFailure>;

// Notified when a tracked request has a decision or its connection is to be migrated.
class DecisionListener {
  public:
    DecisionListener() = default;
    DecisionListener(const DecisionListener&) = delete;
    DecisionListener& operator=(const DecisionListener&) = delete;
    DecisionListener(DecisionListener&&) = delete;
    DecisionListener& operator=(DecisionListener&&) = delete;
    virtual ~DecisionListener() = default;
    // May be called before RequestTracker::takeDecision() returns.
    virtual void onDecision() = 0;
};

}  // namespace ivyreel
