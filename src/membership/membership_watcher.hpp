// Keeps a node's endpoint list up to date: calls discovery, reads the watch that the call opens, and applies
// each change. CallPolicy decides when to call and how long to wait.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admin/metrics.hpp"
#include "io/scheduler.hpp"
#include "io/socket.hpp"
#include "membership/call_policy.hpp"
#include "membership/list_freshness.hpp"
#include "membership/membership_call.hpp"
#include "membership/membership_table.hpp"
#include "membership/membership_update.hpp"
#include "proxy/endpoint_connector.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

// The state of the endpoint list, for the metrics.
struct ListStatus {
    ListFreshness::State state = ListFreshness::State::CatchingUp;
    Micros age{0};               // since discovery's last message; since the start if there was none
    Micros timeWithoutWatch{0};  // total since the start
};

class MembershipWatcher {
  public:
    // `seed` must differ between processes, so that their calls are not synchronised.
    MembershipWatcher(Scheduler& scheduler, RequestTracker& tracker, EndpointConnector& connector,
                      Metrics& metrics, const Address& discovery, std::uint64_t seed);

    // Applies a list that was stored before the start.
    void restore(const MembershipUpdate& known) { table_.apply(known); }
    // The complete list in its current state.
    MembershipUpdate snapshot() const { return table_.snapshot(); }
    // Whether the list is up to date, and since when.
    ListFreshness freshness() const { return freshness_; }
    bool live() const { return freshness_.live(); }
    ListStatus status() const;
    // Whether the first call has opened a watch or has failed.
    bool hasFirstCallEnded() const { return firstCallEnded_; }
    // The number of nodes that watch the list, and the time within which a change of a pushed list must be
    // applied. CallPolicy uses both.
    void setNodeCount(std::uint32_t nodes) { policy_.setNodeCount(nodes); }
    void setPushDeadline(std::optional<Micros> deadline) { policy_.setPushDeadline(deadline); }
    // Makes run() call discovery. Later calls of this function have no effect: the watcher itself schedules
    // its retries.
    void start();
    // Changes the address of discovery. The next watch continues from the known version.
    void setDiscoveryAddress(const Address& discovery);
    // Runs until the scheduler destroys the task.
    Task<void> run();

  private:
    using Calls = std::vector<std::unique_ptr<MembershipCall>>;  // oldest first

    // Returns the call that opened a watch, or null if all calls have failed or the address has changed.
    Task<std::unique_ptr<MembershipCall>> openWatch();
    // Returns when the watch has ended or the address has changed.
    Task<void> followWatch(MembershipCall& watch);
    // Waits until nextCallAt_. A change of the address replaces that time by a delay of its own.
    Task<void> waitForNextCall();

    void addCall(Calls& calls);
    std::unique_ptr<MembershipCall> takeAnswered(Calls& calls);
    void handleFailedCalls(Calls& calls);
    void handleTimeouts(Calls& calls);
    void cancelAll(Calls& calls, std::string_view reason);
    Time nextTimeout(const Calls& calls) const;
    void handleCallFailure(const MembershipCall& call, const MembershipCall::Failure& failure);
    void handleEnd(const CallEnd& end, const std::string& reason);
    void countFailure(CallFailure failure);

    void apply(const std::vector<WatchMessage>& messages);
    void markLive();
    void setFreshness(ListFreshness::State state, Time since);

    Scheduler& scheduler_;
    RequestTracker& tracker_;
    Metrics& metrics_;
    Address discovery_;
    CallPolicy policy_;
    Signal signal_;
    bool started_ = false;
    bool addressChanged_ = false;  // since the last call to discovery
    bool firstCallEnded_ = false;
    ListFreshness freshness_;
    Micros timeWithoutWatch_{0};
    Time lastMessageAt_{0};
    Time nextCallAt_{0};
    Time nextConcurrentCallAt_ = kNever;
    MembershipTable table_;
};

}  // namespace ivyreel
