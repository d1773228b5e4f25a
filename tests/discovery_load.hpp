// A fleet of followers and an overloaded discovery in virtual time, with checks of their calls and deadlines.
// A follower is a node that watches discovery's endpoint list.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "follower_fleet.hpp"
#include "io/scheduler.hpp"
#include "log_capture.hpp"
#include "overloaded_discovery.hpp"
#include "virtual_clock.hpp"

namespace ivyreel {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeed = 20'240'501;

constexpr Micros kQueuedServiceTime = 3s;      // time to serve a full queue
constexpr Micros kMaxQueueTime = 3s;           // until a queued call is rejected
constexpr double kRejectionCost = 1.0 / 15.0;  // relative to a served call

inline double inSeconds(Micros time) {
    return std::chrono::duration<double>(time).count();
}

// The size of the fleet, and the time that discovery takes to serve one call of each follower. Discovery's
// capacity is derived from both, so that it grows with the fleet.
struct FleetLoad {
    std::size_t followers = 0;
    Micros timeToServeAll{0};

    friend void PrintTo(const FleetLoad& load, std::ostream* out) {
        *out << load.followers << " followers, served in " << load.timeToServeAll / 1s << " s";
    }
};

// The limit on calls per follower for each second that discovery takes to serve all N followers: 4 N calls in
// total if it takes 4 s, and 8 N calls if it takes 8 s.
constexpr double kMaxCallsPerSecondOfService = 1.0;
// The limit on calls per follower in any second: three times the rate of a discovery that serves all calls in
// 4 s.
constexpr double kMaxCallsPerFollowerAndSecond = 0.75;

constexpr Micros kObservationTime = 20s;  // a fleet that takes longer to recover has failed
constexpr Micros kHangLimit = 120s;       // virtual time; only a test that hangs reaches it
constexpr Micros kPollInterval = 10ms;

inline DiscoveryLimits unlimitedDiscovery() {
    return {1e6, 0.0, 1'000'000, 3600s};
}

inline DiscoveryLimits limitsFor(const FleetLoad& load) {
    const double rate =
        static_cast<double>(load.followers) / std::chrono::duration<double>(load.timeToServeAll).count();
    const double queue = rate * std::chrono::duration<double>(kQueuedServiceTime).count();
    return {rate, kRejectionCost, static_cast<std::size_t>(queue), kMaxQueueTime};
}

// Runs a test's script with a fleet that watches the list of one discovery.
class DiscoveryLoad {
  public:
    explicit DiscoveryLoad(const FleetLoad& load)
        : load_(load),
          limits_(limitsFor(load)),
          otherDiscovery_(scheduler_, limits_),
          fleet_(scheduler_, load.followers, discovery_.address(), kSeed) {}
    ~DiscoveryLoad() { scheduler_.destroyTasks(); }
    DiscoveryLoad(const DiscoveryLoad&) = delete;
    DiscoveryLoad& operator=(const DiscoveryLoad&) = delete;
    DiscoveryLoad(DiscoveryLoad&&) = delete;
    DiscoveryLoad& operator=(DiscoveryLoad&&) = delete;

    Scheduler& scheduler() { return scheduler_; }
    OverloadedDiscovery& discovery() { return discovery_; }
    // A second discovery that has limits from the start and no followers. The script starts it.
    OverloadedDiscovery& otherDiscovery() { return otherDiscovery_; }
    FollowerFleet& fleet() { return fleet_; }
    const LogCapture& log() const { return log_; }
    Follower& firstFollower() { return *fleet_.followers().front(); }
    Time now() const { return scheduler_.now(); }
    Micros timeToServeAll() const { return load_.timeToServeAll; }

    // Returns true if the script has run to its end.
    bool run(const std::function<Task<void>(DiscoveryLoad&)>& script) {
        bool ended = false;
        discovery_.start();
        scheduler_.spawn(stopAtHangLimit());
        scheduler_.spawn(runToEnd(script, ended));
        scheduler_.run();
        return ended;
    }

    Task<void> sleep(Micros time) {
        Signal pause{scheduler_};
        co_await pause.wait(now() + time);
    }

    // Waits until the condition is met or the time limit has passed.
    Task<void> waitUntil(std::function<bool()> met, Micros limit = kObservationTime) {
        const Time deadline = now() + limit;
        while (!met() && now() < deadline) {
            co_await sleep(kPollInterval);
        }
    }

    // Opens all watches while discovery has no limits, and then sets the limits.
    Task<void> openAllWatches() {
        discovery_.writeEntry("server-1", "active");
        discovery_.writeEntry("server-2", "active");
        fleet_.start();
        co_await waitUntil([this] { return fleet_.allLive(); });
        EXPECT_TRUE(fleet_.allLive());
        co_await sleep(3s);  // the watches become stable
        discovery_.setLimits(limits_);
        discovery_.resetCounts();
    }

    Task<void> waitUntilAllReceived(std::uint64_t version, Micros limit = kObservationTime) {
        co_await waitUntil([this, version] { return fleet_.timeAllReceived(version).has_value(); }, limit);
    }

    // Checks that all followers received the version within the bound, and that the number of calls stays
    // within the limits above.
    void expectAllReceived(const OverloadedDiscovery& source, std::uint64_t version, Time since,
                           Micros bound) const {
        const std::size_t size = fleet_.followers().size();
        const std::size_t received = receivedSince(source, since);
        const double maxCalls =
            kMaxCallsPerSecondOfService * inSeconds(load_.timeToServeAll) * static_cast<double>(size);
        const double maxPerSecond = kMaxCallsPerFollowerAndSecond * static_cast<double>(size);
        printCounts(source, version, since);
        EXPECT_EQ(fleet_.countHavingReceived(version), size);
        const auto last = fleet_.timeAllReceived(version);
        EXPECT_TRUE(last && *last - since <= bound)
            << "the bound is " << inSeconds(bound) << " s; the last follower received the list after "
            << (last ? std::to_string(inSeconds(*last - since)) + " s" : "the end of the observation");
        EXPECT_LE(static_cast<double>(received), maxCalls);
        EXPECT_LE(static_cast<double>(callsInBusiestSecond(source, since)), maxPerSecond)
            << "calls in the busiest second, without the first second";
    }

  private:
    Task<void> stopAtHangLimit() {
        co_await sleep(kHangLimit);
        scheduler_.stop();
    }

    Task<void> runToEnd(const std::function<Task<void>(DiscoveryLoad&)>& script, bool& ended) {
        co_await script(*this);
        ended = true;
        scheduler_.stop();
    }

    static std::size_t receivedSince(const OverloadedDiscovery& source, Time since) {
        const std::vector<Time>& received = source.counts().receivedAt;
        return static_cast<std::size_t>(
            std::count_if(received.begin(), received.end(), [since](Time at) { return at >= since; }));
    }

    // The largest number of calls in one second after `since`, without the first second.
    static std::size_t callsInBusiestSecond(const OverloadedDiscovery& source, Time since) {
        std::map<Micros::rep, std::size_t> perSecond;
        for (const Time at : source.counts().receivedAt) {
            if (at >= since + 1s) ++perSecond[(at - since) / 1s];
        }
        std::size_t most = 0;
        for (const auto& [second, calls] : perSecond) {
            most = std::max(most, calls);
        }
        return most;
    }

    void printCounts(const OverloadedDiscovery& source, std::uint64_t version, Time since) const {
        const DiscoveryCounts& counts = source.counts();
        const auto last = fleet_.timeAllReceived(version);
        std::cout << "[ FIGURES  ] received " << receivedSince(source, since) << ", busiest second "
                  << callsInBusiestSecond(source, since) << " at a rate of " << limits_.callsPerSecond
                  << ", rejected " << counts.rejected << ", expired " << counts.expired << ", abandoned "
                  << counts.abandoned << ", answered late " << counts.respondedLate << ", unanswered "
                  << counts.unanswered << ", version known to " << fleet_.countHavingReceived(version)
                  << " of " << fleet_.followers().size() << ", last after "
                  << (last ? std::to_string(inSeconds(*last - since)) : "-") << " s, longest gap "
                  << inSeconds(fleet_.longestGap()) << " s\n";
    }

    FleetLoad load_;
    LogCapture log_;
    Scheduler scheduler_{std::make_unique<VirtualClock>()};
    OverloadedDiscovery discovery_{scheduler_, unlimitedDiscovery()};
    DiscoveryLimits limits_;
    OverloadedDiscovery otherDiscovery_;
    FollowerFleet fleet_;
};

}  // namespace ivyreel
