// Many followers of one discovery in one process. A follower is a node that watches discovery's endpoint
// list: a membership watcher with the parts of a node that it requires. It records when it received each
// version of the list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "admin/metrics.hpp"
#include "io/scheduler.hpp"
#include "membership/membership_watcher.hpp"
#include "proxy/endpoint_connector.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

class Follower final : public TrackerEnvironment {
  public:
    struct Reception {
        Time at{0};
        std::uint64_t updates = 0;  // updates received up to and including this version
    };

    Follower(Scheduler& scheduler, const Address& discovery, std::uint64_t seed);

    Time now() const override { return scheduler_.now(); }
    void startHealthCheck(EndpointId) override {}
    void startWatchingEndpointList() override {}  // the watcher schedules its own retries

    MembershipWatcher& watcher() { return watcher_; }
    const Metrics& metrics() const { return metrics_; }
    // When the follower received this version or a later one; nullopt if it has not.
    std::optional<Reception> receptionOf(std::uint64_t version) const;
    // The longest sampled time without a live watch.
    Micros longestGap() const { return longestGap_; }
    void sampleLiveness();

  private:
    class RecordingEngine;
    void recordReception();

    Scheduler& scheduler_;
    Metrics metrics_;
    RequestTracker tracker_;
    EndpointConnector connector_;
    MembershipWatcher watcher_;
    std::map<std::uint64_t, Reception> receptions_;  // by version
    std::optional<Time> gapSince_;
    Micros longestGap_{0};
};

class FollowerFleet {
  public:
    FollowerFleet(Scheduler& scheduler, std::size_t count, const Address& discovery, std::uint64_t seed);

    // Spawns the watchers. They run until the scheduler drops their tasks.
    void start();
    void setDiscoveryAddress(const Address& discovery);
    const std::vector<std::unique_ptr<Follower>>& followers() const { return followers_; }
    bool allLive() const;
    std::size_t countHavingReceived(std::uint64_t version) const;
    // When the last follower received the version; nullopt if not all followers have received it.
    std::optional<Time> timeAllReceived(std::uint64_t version) const;
    Micros longestGap() const;

  private:
    Task<void> sampleLiveness();

    Scheduler& scheduler_;
    std::vector<std::unique_ptr<Follower>> followers_;
};

}  // namespace ivyreel
