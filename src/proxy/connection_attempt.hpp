// One attempt to establish a client's connection at an endpoint.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "admin/metrics.hpp"
#include "io/scheduler.hpp"
#include "io/socket.hpp"
#include "protocol/line.hpp"
#include "proxy/connection_pair.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

class EndpointConnector;

// Where an attempt goes.
struct AttemptTarget {
    EndpointId endpoint{};
    Micros timeout{0};
    bool resumed =
        false;  // the connection was established there before: sent whatever the endpoint list says
};

// The result of an attempt.
struct AttemptResult {
    enum class Kind {
        Up,               // the endpoint has accepted; its answer is the first line in the upstream buffer
        Ended,            // with an outcome other than that
        Cancelled,        // there is another decision by now, or the client is to be migrated
        ClientAbandoned,  // the client has disconnected, or has sent more before its answer
    };
    Kind kind = Kind::Ended;
    Outcome outcome = Outcome::ConnectFailed;  // of Kind::Ended
    Micros elapsed{0};
    std::optional<LoadReport> load;
};

// Connects, sends the opening line and reads the answer. It never waits: its owner polls it whenever the
// signal of the connections was raised, or the deadline has passed. Unless the endpoint has accepted, the
// upstream connection is closed at the end.
class ConnectionAttempt {
  public:
    ConnectionAttempt(const EndpointConnector& connector, const RequestTracker& tracker, Metrics& metrics,
                      ConnectionPair& connections, const TrackedRequest& trackedRequest,
                      const OpeningLine& opening, const AttemptTarget& target,
                      RequestClassMetrics& classMetrics);

    // Begins to connect. Returns the result if the attempt has failed already.
    std::optional<AttemptResult> start();
    // Does what can be done without waiting. Returns the result once the attempt has ended.
    std::optional<AttemptResult> poll();
    // When to poll again at the latest.
    Time deadline() const { return connected_ ? answerDeadline_ : connectDeadline_; }

  private:
    std::optional<AttemptResult> checkConnect();
    std::optional<AttemptResult> prepareOpening();
    std::optional<AttemptResult> exchange();
    void sendOpening();
    AttemptResult resultOf(const Line& answer);
    AttemptResult withoutOutcome(AttemptResult::Kind kind);
    AttemptResult ended(Outcome outcome, std::optional<LoadReport> load = std::nullopt);
    bool openingSent() const { return sentBytes_ > 0 && sentBytes_ == openingText_.size(); }
    Time now() const { return connections_.signal.scheduler().now(); }

    const EndpointConnector& connector_;
    const RequestTracker& tracker_;
    Metrics& metrics_;
    ConnectionPair& connections_;
    const TrackedRequest& trackedRequest_;
    const OpeningLine& opening_;
    AttemptTarget target_;
    RequestClassMetrics& classMetrics_;
    Time start_;
    Time answerDeadline_;
    Time connectDeadline_;
    Time polledAt_;
    std::optional<Address> address_;
    std::string openingText_;    // the opening line, once the connection is established
    std::size_t sentBytes_ = 0;  // bytes of it
    bool connected_ = false;
};

}  // namespace ivyreel
