#include "membership/membership_watcher.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

// Discovery sends a heartbeat every 2 s. A shorter timeout leaves more of the propagation deadline for the
// next call.
constexpr Micros kHeartbeatTimeout = 2300ms;
constexpr std::size_t kMaxConcurrentCalls = 3;

double inSeconds(Micros span) {
    return std::chrono::duration<double>(span).count();
}

}  // namespace

MembershipWatcher::MembershipWatcher(Scheduler& scheduler, RequestTracker& tracker,
                                     EndpointConnector& connector, Metrics& metrics, const Address& discovery,
                                     std::uint64_t seed)
    : scheduler_(scheduler),
      tracker_(tracker),
      metrics_(metrics),
      discovery_(discovery),
      policy_(seed),
      signal_(scheduler),
      table_(connector) {
    freshness_.since = scheduler.now();
}

void MembershipWatcher::start() {
    started_ = true;
    signal_.raise();
}

void MembershipWatcher::setDiscoveryAddress(const Address& discovery) {
    if (discovery == discovery_) return;
    discovery_ = discovery;
    addressChanged_ = true;
    signal_.raise();
}

Task<void> MembershipWatcher::run() {
    while (!started_ && !addressChanged_) {
        co_await signal_.wait();
    }
    addressChanged_ = false;
    setFreshness(ListFreshness::State::CatchingUp, freshness_.since);
    for (;;) {
        const std::unique_ptr<MembershipCall> watch = co_await openWatch();
        if (watch) co_await followWatch(*watch);
        co_await waitForNextCall();
    }
}

Task<void> MembershipWatcher::waitForNextCall() {
    for (;;) {
        if (std::exchange(addressChanged_, false))
            nextCallAt_ = scheduler_.now() + policy_.delayAfterAddressChange();
        if (scheduler_.now() >= nextCallAt_) co_return;
        co_await signal_.wait(nextCallAt_);
    }
}

// Keeps up to kMaxConcurrentCalls calls open and uses the first response. A further call is started when the
// hedging delay of the newest call has passed, or at the retry time if the newest call has failed. The
// earlier calls stay open and keep their positions in discovery's queue.
Task<std::unique_ptr<MembershipCall>> MembershipWatcher::openWatch() {
    Calls calls;
    addCall(calls);
    for (;;) {
        for (const auto& call : calls) {
            if (call->advance()) signal_.raise();
        }
        std::unique_ptr<MembershipCall> answered = takeAnswered(calls);
        if (answered) {
            cancelAll(calls, "another call got a response first");
            co_return answered;
        }
        handleFailedCalls(calls);
        handleTimeouts(calls);
        if (calls.empty() || addressChanged_) co_return nullptr;
        if (scheduler_.now() >= nextConcurrentCallAt_ && calls.size() < kMaxConcurrentCalls) {
            addCall(calls);
            continue;
        }
        co_await signal_.wait(nextTimeout(calls));
    }
}

void MembershipWatcher::addCall(Calls& calls) {
    ++metrics_.listCalls;
    if (!calls.empty()) ++metrics_.listAdditionalCalls;
    calls.push_back(std::make_unique<MembershipCall>(signal_, discovery_, table_.version()));
    nextConcurrentCallAt_ = scheduler_.now() + policy_.hedgingDelay();
}

std::unique_ptr<MembershipCall> MembershipWatcher::takeAnswered(Calls& calls) {
    const auto at =
        std::find_if(calls.begin(), calls.end(), [](const auto& call) { return call->hasMessages(); });
    if (at == calls.end()) return nullptr;
    std::unique_ptr<MembershipCall> answered = std::move(*at);
    calls.erase(at);
    policy_.recordResponse(scheduler_.now() - answered->startedAt());
    return answered;
}

void MembershipWatcher::handleFailedCalls(Calls& calls) {
    const MembershipCall* const newest = calls.back().get();
    const auto failed = [&](const std::unique_ptr<MembershipCall>& call) {
        if (call->state() != MembershipCall::State::Failed) return false;
        handleCallFailure(*call, call->failure());
        if (call.get() == newest) nextConcurrentCallAt_ = nextCallAt_;
        return true;
    };
    std::erase_if(calls, failed);
}

// A connect timeout shows that the path to discovery is unresponsive, so that earlier calls will not get a
// response either. All calls are therefore ended.
void MembershipWatcher::handleTimeouts(Calls& calls) {
    const Time now = scheduler_.now();
    const auto connectTimedOut = [&](const std::unique_ptr<MembershipCall>& call) {
        return call->state() == MembershipCall::State::Connecting &&
               now >= call->startedAt() + policy_.connectTimeout();
    };
    if (std::any_of(calls.begin(), calls.end(), connectTimedOut)) {
        handleCallFailure(*calls.back(), {CallFailure::ConnectTimeout, "connecting to discovery timed out"});
        calls.pop_back();
        cancelAll(calls, "the path to discovery is unresponsive");
        return;
    }
    const auto responseTimedOut = [&](const std::unique_ptr<MembershipCall>& call) {
        if (now < call->startedAt() + policy_.responseTimeout()) return false;
        handleCallFailure(*call, {CallFailure::ResponseTimeout, "discovery did not respond"});
        return true;
    };
    std::erase_if(calls, responseTimedOut);
}

// Counts each call as a response timeout, whatever the reason for the cancellation.
void MembershipWatcher::cancelAll(Calls& calls, std::string_view reason) {
    for (const auto& call : calls) {
        countFailure(CallFailure::ResponseTimeout);
        spdlog::warn("endpoint list: call to discovery cancelled after {:.2f} s without a message: {}",
                     inSeconds(scheduler_.now() - call->startedAt()), reason);
    }
    calls.clear();
}

Time MembershipWatcher::nextTimeout(const Calls& calls) const {
    Time next = calls.size() < kMaxConcurrentCalls ? nextConcurrentCallAt_ : kNever;
    for (const auto& call : calls) {
        const bool connecting = call->state() == MembershipCall::State::Connecting;
        const Micros limit = connecting ? policy_.connectTimeout() : policy_.responseTimeout();
        next = std::min(next, call->startedAt() + limit);
    }
    return next;
}

void MembershipWatcher::handleCallFailure(const MembershipCall& call,
                                          const MembershipCall::Failure& failure) {
    handleEnd({failure.kind, scheduler_.now() - call.startedAt(), Micros{0}}, failure.reason);
}

// Messages that arrived together with the end of the watch are applied before the end is handled.
Task<void> MembershipWatcher::followWatch(MembershipCall& watch) {
    const Time openedAt = scheduler_.now();
    const Micros elapsed = openedAt - watch.startedAt();
    for (;;) {
        apply(watch.takeMessages());
        if (watch.state() == MembershipCall::State::Failed) {
            const auto& [kind, reason] = watch.failure();
            handleEnd({kind, elapsed, scheduler_.now() - openedAt}, reason);
            co_return;
        }
        const Time heartbeatDueAt = lastMessageAt_ + kHeartbeatTimeout;
        if (scheduler_.now() >= heartbeatDueAt) {
            handleEnd({CallFailure::HeartbeatTimeout, elapsed, scheduler_.now() - openedAt},
                      "heartbeat timeout of the watch");
            co_return;
        }
        co_await signal_.wait(heartbeatDueAt);
        if (addressChanged_) {
            setFreshness(ListFreshness::State::CatchingUp, scheduler_.now());
            co_return;
        }
        if (watch.advance()) signal_.raise();
    }
}

void MembershipWatcher::handleEnd(const CallEnd& end, const std::string& reason) {
    const Retry retry = policy_.nextRetry(end);
    const Time now = scheduler_.now();
    firstCallEnded_ = true;
    countFailure(end.failure);
    spdlog::warn("endpoint list: {} after {:.2f} s, next call in {:.2f} s", reason,
                 inSeconds(end.watchAge > Micros{0} ? end.watchAge : end.elapsed), inSeconds(retry.delay));
    nextCallAt_ = now + retry.delay;
    if (live()) {
        setFreshness(ListFreshness::State::CatchingUp, now);
    } else {
        setFreshness(ListFreshness::State::Stale, freshness_.since);
    }
    if (retry.reportFailure) tracker_.endpointListFailed();
}

void MembershipWatcher::countFailure(CallFailure failure) {
    ++metrics_.listFailures;
    if (failure == CallFailure::Overloaded) ++metrics_.listCallsRejected;
    if (failure == CallFailure::ResponseTimeout || failure == CallFailure::ConnectTimeout)
        ++metrics_.listCallsCancelled;
}

void MembershipWatcher::apply(const std::vector<WatchMessage>& messages) {
    for (const WatchMessage& message : messages) {
        lastMessageAt_ = scheduler_.now();
        if (message) {
            ++metrics_.listChanges;
            table_.apply(*message);
            tracker_.endpointListReceived(message->full, message->entries());
        } else if (!live()) {
            tracker_.endpointListReceived(false, {});
        }
        if (!live()) markLive();
    }
}

void MembershipWatcher::markLive() {
    const Micros gap = scheduler_.now() - freshness_.since;
    timeWithoutWatch_ += gap;
    firstCallEnded_ = true;
    spdlog::info("the list is live after {:.2f} s without a watch, version {}", inSeconds(gap),
                 table_.version());
    setFreshness(ListFreshness::State::Live, scheduler_.now());
}

ListStatus MembershipWatcher::status() const {
    const Time now = scheduler_.now();
    const Micros age = lastMessageAt_ == Time{0} ? now - freshness_.since : now - lastMessageAt_;
    const Micros currentGap = live() ? Micros{0} : now - freshness_.since;
    return {freshness_.state, age, timeWithoutWatch_ + currentGap};
}

void MembershipWatcher::setFreshness(ListFreshness::State state, Time since) {
    freshness_ = {state, since};
    tracker_.setListFreshness(freshness_);
}

}  // namespace ivyreel
