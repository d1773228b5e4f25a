#include "membership/call_policy.hpp"

#include <algorithm>
#include <chrono>

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

// A node must apply a change within this time after discovery has the change and is reachable, whatever has
// failed before.
constexpr Micros kPropagationDeadline = 6s;
// Assumed longest time in discovery's queue. A longer time that was recorded replaces this value.
constexpr Micros kAssumedQueueTime = 3s;
constexpr Micros kSchedulingMargin = 250ms;  // for connecting, transfer and scheduling

// The kernel retransmits a SYN after 1 s.
constexpr Micros kConnectTimeout = 1200ms;
constexpr int kResponseTimeoutFactor = 3;  // the response timeout in multiples of the hedging delay

constexpr Micros kInitialBackoff = 500ms;
constexpr Micros kMaxBackoff = 2500ms;
constexpr Micros kMinBackoffBound = 1s;  // lower limit of maxBackoff() for a long queue
constexpr unsigned kMaxDoublings = 6;
// A call that is rejected after this time or later was in the queue, so that the queue time has already
// delayed the caller.
constexpr Micros kQueuedRejectionAge = 1s;

// A refused connection puts no load on discovery, and jitter spreads the nodes' calls after an outage.
constexpr Micros kOutageBackoff = 600ms;
constexpr Micros kTimeoutBackoff = 300ms;

// If all nodes call at the same time, the calls are spread over this time per node, up to the maximum.
constexpr Micros kJitterPerNode = 5ms;
constexpr Micros kMaxFleetJitter = 500ms;

// A watch that ends earlier is a sign of a fault at discovery.
constexpr Micros kStableWatchAge = 1s;

constexpr Micros kMinDelay = 10ms;
constexpr Micros kPushBackoff = 300ms;
constexpr Micros kPushHedgingDelay = 2600ms;

// A call after the longest backoff still gets its response in time. If that call is lost, its hedging call
// gets its response in time, provided that the queue is empty by then.
static_assert(kMaxBackoff + (kAssumedQueueTime + kSchedulingMargin) + kSchedulingMargin <=
              kPropagationDeadline);

}  // namespace

void CallPolicy::recordResponse(Micros elapsed) {
    recordQueueTime(elapsed);
}

Retry CallPolicy::nextRetry(const CallEnd& end) {
    const bool stableWatch = end.watchAge >= kStableWatchAge;
    if (stableWatch) overloadBackoffCount_ = 0;
    if (pushDeadline_) return pushRetry(end);
    switch (end.failure) {
        case CallFailure::HeartbeatTimeout:
            // The node may have missed changes since the last heartbeat, so it reconnects without a delay.
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

// State that was recorded for the old address does not apply to the new one.
Micros CallPolicy::delayAfterAddressChange() {
    overloadBackoffCount_ = 0;
    queueTimes_ = {};
    if (pushDeadline_) return Micros{0};
    return fleetJitter();
}

Micros CallPolicy::connectTimeout() const {
    return kConnectTimeout;
}

// A hedging call is not started before the first call is likely to be lost: the hedging call adds load, and a
// discovery that does not distinguish the calls of a client may remove the first call from the queue when it
// rejects the second one.
//
// After an overload backoff the queue may be full. A slow response is then more likely than a lost one, and
// the call may use the part of the propagation deadline that the preceding backoff has left. Discovery has no
// queue if the list is pushed.
Micros CallPolicy::hedgingDelay() const {
    if (pushDeadline_) return kPushHedgingDelay;
    const Micros likelyLostAfter = longestQueueTime() + kSchedulingMargin;
    if (overloadBackoffCount_ == 0) return likelyLostAfter;
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

// Random delay that spreads the calls of the fleet when all nodes call at the same time.
Micros CallPolicy::fleetJitter() {
    return randomDelay(std::min(kJitterPerNode * nodeCount_, kMaxFleetJitter));
}

// Exponential backoff with full jitter. Each overload backoff since the last stable watch doubles the upper
// bound, up to maxBackoff().
Micros CallPolicy::overloadBackoff() {
    const Micros window = kInitialBackoff * (1U << std::min(overloadBackoffCount_, kMaxDoublings));
    ++overloadBackoffCount_;
    lastOverloadBackoff_ = randomDelay(std::min(window, maxBackoff()));
    return lastOverloadBackoff_;
}

// A node must not miss changes of a pushed list. A stable watch that ends is reopened immediately, and an
// unreachable discovery is called twice before the push deadline.
Retry CallPolicy::pushRetry(const CallEnd& end) {
    const bool watchLost =
        end.failure == CallFailure::HeartbeatTimeout || end.failure == CallFailure::WatchEnded;
    if (watchLost && end.watchAge >= kStableWatchAge) return {Micros{0}, false};
    const Micros halfDeadline = std::max(*pushDeadline_ / 2, kMinDelay);
    if (end.failure == CallFailure::Unreachable) return {halfDeadline, false};
    const Micros upperBound = std::min(halfDeadline, kPushBackoff);
    return {upperBound / 2 + randomDelay(upperBound / 2), true};
}

void CallPolicy::recordQueueTime(Micros elapsed) {
    queueTimes_[nextQueueTime_] = elapsed;
    nextQueueTime_ = (nextQueueTime_ + 1) % kRecordedQueueTimes;
}

Micros CallPolicy::longestQueueTime() const {
    return std::max(kAssumedQueueTime, *std::max_element(queueTimes_.begin(), queueTimes_.end()));
}

// The upper bound of the overload backoff: the part of the propagation deadline that the longest queue time
// leaves, within kMinBackoffBound and kMaxBackoff. At the lower limit, a call may miss the deadline.
Micros CallPolicy::maxBackoff() const {
    const Micros timeForBackoff = kPropagationDeadline - longestQueueTime() - kSchedulingMargin;
    return std::clamp(timeForBackoff, kMinBackoffBound, kMaxBackoff);
}

}  // namespace ivyreel
