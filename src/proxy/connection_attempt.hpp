// One attempt to establish a connection between a client and an endpoint.
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

// The endpoint of an attempt and how long the attempt may take.
struct AttemptTarget {
    EndpointId endpoint{};
    Micros timeout{0};
    // The connection was established at this endpoint before: the opening line is sent even if the endpoint
    // list or a ban excludes the endpoint.
    bool resumed = false;
};

// The result of an attempt.
struct AttemptResult {
    enum class Kind {
        Up,                  // the endpoint accepted the request: UP is the first line in the upstream buffer
        Failed,              // the attempt failed: see `outcome`
        Cancelled,           // a newer decision, or a `resumed` attempt whose client is to be migrated
        ClientEndedRequest,  // the client disconnected, or sent data before its answer
    };
    Kind kind = Kind::Failed;
    Outcome outcome = Outcome::ConnectFailed;  // for Kind::Failed only
    Micros elapsed{0};
    std::optional<LoadReport> load;
};

// Connects to an endpoint, sends the opening line and reads the answer. No function blocks: the owner calls
// poll() whenever the signal of the connection pair is raised or deadline() has passed. When an attempt ends
// with any result but Kind::Up, the upstream connection is closed.
class ConnectionAttempt {
  public:
    ConnectionAttempt(const EndpointConnector& connector, const RequestTracker& tracker, Metrics& metrics,
                      ConnectionPair& connections, const TrackedRequest& trackedRequest,
                      const OpeningLine& opening, const AttemptTarget& target,
                      RequestClassMetrics& classMetrics);

    // Starts to connect. Returns the result if this fails immediately.
    std::optional<AttemptResult> start();
    // Makes all progress that is possible without blocking. Returns the result once the attempt has ended.
    std::optional<AttemptResult> poll();
    // The latest time of the next poll().
    Time deadline() const { return connected_ ? answerDeadline_ : connectDeadline_; }

  private:
    std::optional<AttemptResult> checkConnect();
    std::optional<AttemptResult> prepareOpening();
    std::optional<AttemptResult> exchange();
    void sendOpening();
    AttemptResult handleAnswer(const Line& answer);
    AttemptResult closeWithoutOutcome(AttemptResult::Kind kind);
    AttemptResult closeAsFailed(Outcome outcome, std::optional<LoadReport> load = std::nullopt);
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
    std::string openingText_;    // the opening line to send; empty until the connection is established
    std::size_t sentBytes_ = 0;  // bytes of openingText_ that were sent
    bool connected_ = false;
};

}  // namespace ivyreel
