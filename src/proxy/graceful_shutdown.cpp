#include "proxy/graceful_shutdown.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <utility>
#include <vector>

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

// How long after SIGTERM the load balancer in front of the node may still send connections.
constexpr Micros kLoadBalancerReactionTime = 450ms;
// The earliest SIGKILL follows SIGTERM by the longest request timeout of a class, but at most
// kMaxRequestTimeoutBeforeKill, plus kExtraTimeBeforeKill.
constexpr Micros kMaxRequestTimeoutBeforeKill = 3s;
constexpr Micros kExtraTimeBeforeKill = 700ms;
constexpr Micros kMarginBeforeKill = 500ms;  // between the last migration and SIGKILL
constexpr Micros kStepInterval = 50ms;       // between two steps of the migration

}  // namespace

Task<void> GracefulShutdown::run(Successor& successor, std::function<void()> drained) {
    Signal timer{scheduler_};
    const Time start = scheduler_.now();
    const Micros timeBeforeKill =
        std::min(tracker_.longestRequestTimeout(), kMaxRequestTimeoutBeforeKill) + kExtraTimeBeforeKill;
    const Time deadline =
        start + std::max(timeBeforeKill - kMarginBeforeKill, kLoadBalancerReactionTime + kStepInterval);
    const Time migrationStart = start + std::max(kLoadBalancerReactionTime, (deadline - start) / 2);
    for (;;) {
        const Time now = scheduler_.now();
        if (recentRequestIds_.openCount() == 0 && now >= migrationStart && drained)
            std::exchange(drained, nullptr)();
        handOver(successor);
        if (now >= migrationStart) migrateShare(deadline - now);
        if (now >= deadline) failPendingRequests();
        co_await timer.wait(now + kStepInterval);
    }
}

void GracefulShutdown::handOver(Successor& successor) {
    for (ConnectionPair* connections : active_.relayedOrResuming) {
        if (!successor.isServing()) return;
        connections->successor = &successor;
        connections->signal.raise();
    }
}

// Migrates an equal share of the remaining connections in each step, so that the last of them are migrated by
// the deadline.
void GracefulShutdown::migrateShare(Micros timeLeft) const {
    std::vector<ConnectionPair*> remaining;
    std::copy_if(active_.relayedOrResuming.begin(), active_.relayedOrResuming.end(),
                 std::back_inserter(remaining),
                 [](const ConnectionPair* connections) { return !connections->migrationRequested; });
    const auto steps = static_cast<std::size_t>(std::max<Micros::rep>(1, timeLeft / kStepInterval));
    remaining.resize((remaining.size() + steps - 1) / steps);
    for (ConnectionPair* connections : remaining) {
        connections->migrationRequested = true;
        connections->signal.raise();
    }
}

// Requests without an answer would be lost when the node is killed. RequestTracker::abandon() leaves
// active_.pending unchanged, so the loop stays valid.
void GracefulShutdown::failPendingRequests() {
    for (TrackedRequest* trackedRequest : active_.pending) {
        tracker_.abandon(*trackedRequest);
    }
}

}  // namespace ivyreel
