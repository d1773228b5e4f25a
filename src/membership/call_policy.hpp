// Decides when a node calls discovery for the endpoint list: the backoff after a failed call, the time at
// which a hedging call is started beside a call without a response, and the time at which a call times out.
// The policy has no clock and does no input or output; all times are passed in.
//
// Discovery serves the calls of all nodes from one queue, and an accepted call keeps its position in the
// queue as long as the call stays open. A failure that may be a sign of overload (an error status, a
// connection that breaks in the queue, a slow response) is therefore followed by exponential backoff with
// full jitter, and an accepted call is not cancelled while its response may still arrive. A refused
// connection or an unresponsive path is not a sign of overload, and the call is retried after a short delay.
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
    Unreachable,        // the connection was refused or failed
    ConnectTimeout,     // the connection was not established in time
    Overloaded,         // an error status, or the connection ended before a response
    ResponseTimeout,    // connected, but no complete message in time
    MalformedResponse,  // the response cannot be parsed
    WatchEnded,         // discovery closed an open watch, or its connection ended
    HeartbeatTimeout,   // an open watch delivered no message, heartbeat or update, in time
};

struct CallEnd {
    CallFailure failure = CallFailure::Overloaded;
    Micros elapsed{0};   // from the start of the call to its end, or to its first message
    Micros watchAge{0};  // from the first message to the end; 0: ended before the message or with it
};

// What to do after a call or its watch has ended.
struct Retry {
    Micros delay{0};
    // Whether the decision engine is notified of the failure. It is not notified if the watch is only
    // reopened.
    bool reportFailure = true;
};

class CallPolicy {
  public:
    explicit CallPolicy(std::uint64_t seed) : random_(seed) {}

    // The number of nodes that watch the same list. If all of them call at the same time, jitter spreads the
    // calls over a time that grows with this number.
    void setNodeCount(std::uint32_t nodes) { nodeCount_ = nodes; }
    // For a pushed list: the time within which a change must be applied, whether or not a watch is open. The
    // node opens a watch in this mode too, but discovery serves a single node, so that its failures are not
    // signs of overload. nullopt: the list is not pushed, and discovery serves all nodes.
    void setPushDeadline(std::optional<Micros> deadline) { pushDeadline_ = deadline; }

    // Records that the first message of a watch arrived `elapsed` after the start of the call. The whole time
    // counts as time in discovery's queue.
    void recordResponse(Micros elapsed);
    // Decides when to call again after a call or its watch has ended.
    Retry nextRetry(const CallEnd& end);
    // Resets the state and returns the delay before the first call to a new address of discovery. A reload
    // may change the address.
    Micros delayAfterAddressChange();

    // The time limit for establishing the connection of a call.
    Micros connectTimeout() const;
    // The delay from the start of a call to the start of a hedging call beside it.
    Micros hedgingDelay() const;
    // The time limit from the start of a call to its first message.
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
    std::uint32_t nodeCount_ = 1;
    std::optional<Micros> pushDeadline_;
    unsigned overloadBackoffCount_ = 0;  // since the last stable watch or change of the address
    Micros lastOverloadBackoff_{0};
    std::array<Micros, kRecordedQueueTimes> queueTimes_{};
    std::size_t nextQueueTime_ = 0;
};

}  // namespace ivyreel
