// Decides when a node calls discovery for the endpoint list: the backoff after a failed call, when a hedging
// call is started beside one without a response, and when a call times out. It has no clock and does no input
// or output; all times are passed in.
//
// Discovery serves the calls of all nodes from one queue, and an accepted call keeps its place in it for as
// long as it stays open. A failure that may be a sign of overload (an error status, a connection that breaks
// in the queue, a slow response) is therefore followed by exponential backoff with full jitter, and an
// accepted call is not cancelled while its response may still come. A refused connection and an unresponsive
// path are no signs of overload, and are retried soon.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "decision/decision_engine.hpp"
#include "util/random.hpp"

namespace ivyreel {

// Why a call to discovery, or the watch that it opened, ended.
enum class CallFailure {
    Unreachable,        // connection refused
    ConnectTimeout,     // the connection was not established in time
    Overloaded,         // an error status, or the connection ended before a response
    ResponseTimeout,    // connected, but no complete message in time
    MalformedResponse,  // it cannot be parsed
    WatchEnded,         // an open watch ended
    HeartbeatTimeout,   // an open watch brought no heartbeat in time
};

struct CallEnd {
    CallFailure failure = CallFailure::Overloaded;
    Micros elapsed{0};   // from the start of the call to its end, or to its first message
    Micros watchAge{0};  // from the first message to the end; 0: there was none
};

// What to do after a call or its watch has ended.
struct Retry {
    Micros delay{0};
    // Whether the decision engine is notified of the failure; not where the watch is merely reopened.
    bool reportFailure = true;
};

class CallPolicy {
  public:
    explicit CallPolicy(std::uint64_t seed) : random_(seed) {}

    // The number of nodes that watch the same list: where all of them call at once, jitter spreads the calls.
    void setFleetSize(std::uint32_t nodes) { fleetSize_ = nodes; }
    // Where the list is pushed: the time within which a change has to be applied, whether or not a watch is
    // open. The sender serves a single node, so its failures are no signs of overload. None: the list is
    // polled.
    void setPushGrace(std::optional<Micros> grace) { pushGrace_ = grace; }

    // The first message of a watch came this long after the call was started.
    void recordResponse(Micros elapsed);
    // A call or its watch has ended: when to call next.
    Retry nextRetry(const CallEnd& end);
    // The delay before the first call to another address, after a reload.
    Micros delayAfterAddressChange();

    // How long the connection of a call may take to be established.
    Micros connectTimeout() const;
    // How long after the start of a call a hedging call is started beside it.
    Micros hedgingDelay() const;
    // How long a call may take until its first message.
    Micros responseTimeout() const;

  private:
    static constexpr std::size_t kRecordedQueueTimes = 8;

    Micros randomDelay(Micros upperBound);
    Micros fleetJitter();
    Micros overloadBackoff();
    Retry pushRetry(const CallEnd& end);
    void recordQueueTime(Micros elapsed);
    Micros longestQueueTime() const;
    Micros maxBackoff() const;

    SplitMix64 random_;
    std::uint32_t fleetSize_ = 1;
    std::optional<Micros> pushGrace_;
    unsigned consecutiveRejections_ = 0;  // since the last stable watch
    Micros lastOverloadBackoff_{0};
    std::array<Micros, kRecordedQueueTimes> queueTimes_{};
    std::size_t nextQueueTime_ = 0;
};

}  // namespace ivyreel
