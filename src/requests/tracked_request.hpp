// One request of a client, from its arrival to the end of its connection.
#pragma once

#include <optional>
#include <string_view>

#include "decision/events.hpp"
#include "requests/decision.hpp"

namespace ivyreel {

class RequestTracker;

// What a client says of its request; the views need to live for the constructor of TrackedRequest only.
struct RequestAttributes {
    std::string_view requestClass;
    std::string_view tenant;
    std::string_view group;
    std::string_view key;
    std::optional<double> loadHint;  // microseconds of work a second
    Micros clientTimeout{0};
    bool reconnecting = false;
};

// The owner takes decisions from the tracker until one forwards, rejects or fails the request, and reports
// the result of each attempt to it. The listener hears of decisions that come in the meantime, so that the
// owner can wait for the decision module and for its client at once.
class TrackedRequest {
  public:
    // The decision module learns of the request with the first RequestTracker::takeDecision().
    TrackedRequest(RequestTracker& tracker, DecisionListener& listener, const RequestAttributes& attributes);
    TrackedRequest(const TrackedRequest&) = delete;
    TrackedRequest& operator=(const TrackedRequest&) = delete;
    TrackedRequest(TrackedRequest&&) = delete;
    TrackedRequest& operator=(TrackedRequest&&) = delete;
    // Reports that the client has disconnected, if the decision module still counts the request.
    ~TrackedRequest();

    // Whether there is a decision to take. One that comes during an attempt cancels the attempt.
    bool hasDecision() const { return decision_.has_value(); }
    // Whether the connection is to be ended politely, so that its client connects again.
    bool shouldMigrate() const { return shouldMigrate_; }
    // The endpoint of the latest attempt.
    EndpointId endpoint() const { return endpoint_; }
    // Attempts so far, the present one included.
    int attempts() const { return attempts_; }
    // The load of the connection, as the endpoint or else the client reported it last.
    std::optional<double> load() const { return arrival_.loadHint; }

  private:
    friend class RequestTracker;
    AttemptIndex attemptIndex() const;

    RequestTracker& tracker_;
    DecisionListener& listener_;
    RequestArrived arrival_;
    double expectedLoad_;         // the client's load hint; 0: none
    bool knownToEngine_ = false;  // the decision module counts the request
    bool shouldMigrate_ = false;
    int attempts_ = 0;
    EndpointId endpoint_{};
    Time attemptStartedAt_{0};
    Micros attemptTimeout_{0};
    std::optional<Decision> decision_;
};

}  // namespace ivyreel
