// A client's request, from its arrival to the end of the connection that it opens.
#pragma once

#include <optional>
#include <string_view>

#include "decision/events.hpp"
#include "requests/decision.hpp"

namespace ivyreel {

class RequestTracker;

// The attributes of a request that its client sent. The views must stay valid only until the constructor of
// TrackedRequest returns.
struct RequestAttributes {
    std::string_view requestClass;
    std::string_view tenant;
    std::string_view group;
    std::string_view key;            // converted to RequestArrived::flowKey
    std::optional<double> loadHint;  // expected load in microseconds of work per second
    Micros clientTimeout{0};
    bool reconnecting = false;
};

// The owner calls RequestTracker::takeDecision() until the request is established, rejected or failed, and
// reports the result of each attempt to the tracker. The listener is notified when a decision is pending or
// the connection is to be migrated, so that the owner can wait for the decision engine and for the client at
// once. The listener may be notified before takeDecision() returns.
class TrackedRequest {
  public:
    // The first call of RequestTracker::takeDecision() passes the request to the decision engine.
    TrackedRequest(RequestTracker& tracker, DecisionListener& listener, const RequestAttributes& attributes);
    TrackedRequest(const TrackedRequest&) = delete;
    TrackedRequest& operator=(const TrackedRequest&) = delete;
    TrackedRequest(TrackedRequest&&) = delete;
    TrackedRequest& operator=(TrackedRequest&&) = delete;
    // Reports that the client has disconnected if the decision engine still tracks the request.
    ~TrackedRequest();

    // Whether there is a decision to take. If a decision is pending during an attempt, the owner
    // must cancel the attempt.
    bool hasPendingDecision() const { return decision_.has_value(); }
    // Whether the decision engine migrates the connection: the owner sends MOVE and the client reconnects.
    bool shouldMigrate() const { return shouldMigrate_; }
    // The endpoint of the latest attempt.
    EndpointId endpoint() const { return endpoint_; }
    // The number of attempts started so far.
    int attempts() const { return attempts_; }
    // The load of the connection in microseconds of work per second: the endpoint's latest report, or the
    // client's hint if the endpoint has sent none.
    std::optional<double> load() const { return arrival_.loadHint; }

  private:
    friend class RequestTracker;
    AttemptIndex attemptIndex() const;

    RequestTracker& tracker_;
    DecisionListener& listener_;
    RequestArrived arrival_;      // the endpoint's latest load report replaces its load hint
    double expectedLoad_;         // the client's load hint in microseconds of work per second; 0: none
    bool knownToEngine_ = false;  // the decision engine tracks the request
    bool shouldMigrate_ = false;
    int attempts_ = 0;
    EndpointId endpoint_{};
    Time attemptStartedAt_{0};
    Micros attemptTimeout_{0};
    std::optional<Decision> decision_;
};

}  // namespace ivyreel
