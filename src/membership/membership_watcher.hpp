// Keeps a node's endpoint list up to date: calls discovery, follows the watch that the call opens, and
// applies each change. CallPolicy decides when to call and how long to wait.
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

// The state of the list in the metrics.
struct ListStatus {
    ListFreshness::State state = ListFreshness::State::CatchingUp;
    Micros age{0};               // since the last message of discovery; since the start, if there was none
    Micros timeWithoutWatch{0};  // in total since the start
};

class MembershipWatcher {
  public:
    // `seed` differs between processes, so that their calls are not synchronised.
    MembershipWatcher(Scheduler& scheduler, RequestTracker& tracker, EndpointConnector& connector,
                      Metrics& metrics, const Address& discovery, std::uint64_t seed);

    // Applies a list that was known before the start.
    void restore(const MembershipUpdate& known) { table_.apply(known); }
    // The complete list as it is known now.
    MembershipUpdate snapshot() const { return table_.snapshot(); }
    // How far the list can be trusted.
    ListFreshness freshness() const { return freshness_; }
    bool live() const { return freshness_.live(); }
    ListStatus status() const;
    // Whether the first call has opened a watch or has failed.
    bool firstCallEnded() const { return firstCallEnded_; }
    // The number of nodes that watch the list and, where the list is pushed, the time within which a change
    // has to be applied. Both decide how calls are made.
    void setFleetSize(std::uint32_t nodes) { policy_.setFleetSize(nodes); }
    void setPushGrace(std::optional<Micros> grace) { policy_.setPushGrace(grace); }
    // Starts to call discovery. Further calls of this function change nothing: the watcher itself decides
    // when to call discovery again.
    void start();
    // Watches the list at another address from now on, starting at the known version.
    void moveTo(const Address& discovery);
    // Runs until the scheduler drops it.
    Task<void> run();

  private:
    using Calls = std::vector<std::unique_ptr<MembershipCall>>;  // oldest first

    // Returns the call that opened a watch; none: all calls have failed, or the address has changed.
    Task<std::unique_ptr<MembershipCall>> openWatch();
    // Returns when the watch has ended or the address has changed.
    Task<void> followWatch(MembershipCall& watch);
    // A change of the address meanwhile starts a delay of its own.
    Task<void> waitForNextCall();

    void addCall(Calls& calls);
    std::unique_ptr<MembershipCall> takeAnswered(Calls& calls);
    void dropFailed(Calls& calls);
    void dropTimedOut(Calls& calls);
    void cancelAll(Calls& calls, std::string_view reason);
    Time nextTimeout(const Calls& calls) const;
    void callFailed(const MembershipCall& call, const MembershipCall::Failure& failure);
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
    bool addressChanged_ = false;  // since the last call
    bool firstCallEnded_ = false;
    ListFreshness freshness_;
    Micros timeWithoutWatch_{0};
    Time lastMessageAt_{0};
    Time nextCallAt_{0};
    Time hedgeAt_ = kNever;
    MembershipTable table_;
};

}  // namespace ivyreel
