#include "membership/call_policy.hpp"

#include <algorithm>
#include <chrono>

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

// A node has to apply a change within this time after discovery had it and was reachable, whatever failed
// meanwhile.
constexpr Micros kPropagationDeadline = 6s;
// The longest time in discovery's queue, until a response has taken longer.
constexpr Micros kAssumedQueueTime = 3s;
constexpr Micros kSchedulingMargin = 250ms;  // connection, transfer and scheduling

// The kernel retransmits a SYN after 1 s.
constexpr Micros kConnectTimeout = 1200ms;
constexpr int kResponseTimeoutFactor = 3;  // hedging delays until a call times out

constexpr Micros kInitialBackoff = 500ms;
constexpr Micros kMaxBackoff = 2500ms;
constexpr Micros kMinBackoffBound = 1s;  // of the upper bound, however long the queue is
constexpr unsigned kMaxDoublings = 6;
// A call that was rejected later than this was in the queue, which has delayed its caller already.
constexpr Micros kQueuedRejectionAge = 1s;

// A refused connection costs discovery nothing, and jitter spreads the nodes when it is back.
constexpr Micros kOutageBackoff = 600ms;
constexpr Micros kTimeoutBackoff = 300ms;

// Where all nodes call at once, the calls are spread over this time per node, up to the maximum.
constexpr Micros kJitterPerNode = 5ms;
constexpr Micros kMaxFleetJitter = 500ms;

// A watch that ended sooner is a sign of a fault at discovery.
constexpr Micros kStableWatchAge = 1s;

constexpr Micros kMinDelay = 10ms;
constexpr Micros kPushBackoff = 300ms;
constexpr Micros kPushHedgingDelay = 2600ms;

// After the longest backoff a call still gets its response in time; if it is lost, so does its hedging call
// where the queue is empty by then.
static_assert(kMaxBackoff + (kAssumedQueueTime + kSchedulingMargin) + kSchedulingMargin <=
              kPropagationDeadline);

}  // namespace

void CallPolicy::recordResponse(Micros elapsed) {
    recordQueueTime(elapsed);
}

Retry CallPolicy::nextRetry(const CallEnd& end) {
    const bool stableWatch = end.watchAge >= kStableWatchAge;
    if (stableWatch) consecutiveRejections_ = 0;
    if (pushGrace_) return pushRetry(end);
    switch (end.failure) {
        case CallFailure::HeartbeatTimeout:
            // Changes may have been missed since the last heartbeat: reconnect without delay.
            return {Micros{0}, !stableWatch};
        case CallFailure::WatchEnded:
            if (stableWatch) return {fleetJitter(), true};
            break;
        case CallFailure::Unreachable:
            return {randomDelay(kOutageBackoff), true};
        case CallFailure::ConnectTimeout:
        case CallFailure::ResponseTimeout:
            return {randomDelay(kTimeoutBackoff), true};
        case CallFailure::Overloaded:
            if (end.elapsed >= kQueuedRejectionAge) {
                recordQueueTime(end.elapsed);
                return {randomDelay(kInitialBackoff), true};
            }
            break;
        case CallFailure::MalformedResponse:
            break;
    }
    return {overloadBackoff(), true};
}

// What was learned of the old address does not apply to the new one.
Micros CallPolicy::delayAfterAddressChange() {
    consecutiveRejections_ = 0;
    queueTimes_ = {};
    if (pushGrace_) return Micros{0};
    return fleetJitter();
}

Micros CallPolicy::connectTimeout() const {
    return kConnectTimeout;
}

// Not before the first call is likely to be lost: a hedging call adds load, and a discovery that treats all
// calls of a client alike may remove the first one from the queue when it rejects the second.
//
// After a rejection the queue is known to be full. A slow response is then more likely than a lost one, and
// the call gets the time that the backoff before it has left of the propagation deadline. The sender of a
// pushed list has no queue.
Micros CallPolicy::hedgingDelay() const {
    if (pushGrace_) return kPushHedgingDelay;
    const Micros likelyLostAfter = longestQueueTime() + kSchedulingMargin;
    if (consecutiveRejections_ == 0) return likelyLostAfter;
    const Micros timeLeft = kPropagationDeadline - kSchedulingMargin - lastOverloadBackoff_;
    return std::max(likelyLostAfter, std::min(longestQueueTime() + longestQueueTime() / 2, timeLeft));
}

Micros CallPolicy::responseTimeout() const {
    return kResponseTimeoutFactor * hedgingDelay();
}

Micros CallPolicy::randomDelay(Micros upperBound) {
    const auto drawn = static_cast<double>(upperBound.count()) * random_.next();
    return std::max(kMinDelay, Micros{static_cast<Micros::rep>(drawn)});
}

// Spreads the calls of the fleet where all nodes call at once.
Micros CallPolicy::fleetJitter() {
    return randomDelay(std::min(kJitterPerNode * fleetSize_, kMaxFleetJitter));
}

// Exponential backoff with full jitter.
Micros CallPolicy::overloadBackoff() {
    const Micros window = kInitialBackoff * (1U << std::min(consecutiveRejections_, kMaxDoublings));
    ++consecutiveRejections_;
    lastOverloadBackoff_ = randomDelay(std::min(window, maxBackoff()));
    return lastOverloadBackoff_;
}

// A node must not miss changes of a pushed list: a watch that ends is reopened at once, and an unreachable
// sender is called twice within the grace period.
Retry CallPolicy::pushRetry(const CallEnd& end) {
    const bool watchLost =
        end.failure == CallFailure::HeartbeatTimeout || end.failure == CallFailure::WatchEnded;
    if (watchLost && end.watchAge >= kStableWatchAge) return {Micros{0}, false};
    const Micros halfGrace = std::max(*pushGrace_ / 2, kMinDelay);
    if (end.failure == CallFailure::Unreachable) return {halfGrace, false};
    const Micros upperBound = std::min(halfGrace, kPushBackoff);
    return {upperBound / 2 + randomDelay(upperBound / 2), true};
}

void CallPolicy::recordQueueTime(Micros elapsed) {
    queueTimes_[nextQueueTime_] = elapsed;
    nextQueueTime_ = (nextQueueTime_ + 1) % kRecordedQueueTimes;
}

Micros CallPolicy::longestQueueTime() const {
    return std::max(kAssumedQueueTime, *std::max_element(queueTimes_.begin(), queueTimes_.end()));
}

// The longest backoff after which a call that is queued for the longest time still gets its response in time.
Micros CallPolicy::maxBackoff() const {
    const Micros timeForBackoff = kPropagationDeadline - longestQueueTime() - kSchedulingMargin;
    return std::clamp(timeForBackoff, kMinBackoffBound, kMaxBackoff);
}

}  // namespace ivyreel
