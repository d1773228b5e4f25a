// Slow start of new endpoints: how many connections all nodes together send to them.
#include "decision/slow_start.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(SlowStart, AllNodesStayWithinBudgetOfEveryWindow) {
    // An endpoint for about 100 connections starts at 0.3 of its capacity and reaches all of it after 9 s. To
    // fill it in that time takes 11 connections a second. In any 1.5 s the endpoint accepts four times that
    // rate, times the part of its capacity that it has at present.
    constexpr double kConnectionsPerSecondToFill = 100.0 / 9.0;
    std::vector<Time> sent;
    for (std::uint32_t node = 0; node < 3; ++node) {
        Settings settings = defaultSettings();
        settings.nodeIndex = node;
        settings.seed = 100 + node;
        DecisionEngineDriver d = makeFleet(settings, 3, 0.5);
        for (int i = 0; i < 50; ++i) {
            // 50 from each node on 3 endpoints at 0.5: 100 connections fill an endpoint.
            d.establishConnection(d.submitRequest());
        }
        d.advance(2s);
        EndpointEntry newEndpoint = endpointEntry(9);
        newEndpoint.startedAt = d.now();
        d.setReportedLoad(9, 0.0);
        const Time start = d.now();
        d.updateEndpointList({newEndpoint}, EndpointListKind::Delta);
        for (int step = 0; step < 450; ++step) {
            d.advance(20ms);
            for (int burst = 0; burst < 5; ++burst) {
                const RequestId request = d.submitRequest();
                if (d.target(request) == 9) sent.push_back(d.now() - start);
                d.endAttempt(request, Outcome::Ok, true);
            }
        }
    }
    ASSERT_GT(sent.size(), 20U) << "the new endpoint has to be used";
    for (Time from = 0s; from < 9s; from += 100ms) {
        const auto inWindow = std::count_if(sent.begin(), sent.end(),
                                            [from](Time at) { return at >= from && at < from + 1500ms; });
        const double availableShare = 0.3 + 0.7 * std::chrono::duration<double>(from).count() / 9.0;
        EXPECT_LE(static_cast<double>(inWindow), 4.0 * availableShare * kConnectionsPerSecondToFill * 1.5)
            << "from " << from.count();
    }
}

Settings nodeOfHundred(std::uint32_t node, std::uint64_t seed) {
    Settings settings = defaultSettings();
    settings.nodes = 100;
    settings.nodeIndex = node;
    settings.seed = seed + node;
    return settings;
}

// The attempts that 100 nodes start at a new endpoint beside 19 others, whose load over capacity is
// `otherEndpointsLoad`. From 1 s after the endpoint's start, each node submits `requestsPerNode` requests at
// intervals of `gap`. Each node has 10 connections: about 1,000 on 20 endpoints at 0.5, so 100 fill an
// endpoint.
int attemptsToNewEndpoint(int requestsPerNode, Micros gap, std::uint64_t seed,
                          double otherEndpointsLoad = 0.5) {
    int sent = 0;
    for (std::uint32_t node = 0; node < 100; ++node) {
        std::vector<EndpointEntry> entries;
        DecisionEngineDriver d{nodeOfHundred(node, seed)};
        for (std::uint64_t id = 1; id <= 19; ++id) {
            d.setReportedLoad(id, 0.5);
            entries.push_back(endpointEntry(id));
        }
        d.updateEndpointList(std::move(entries));
        for (int i = 0; i < 10; ++i) {
            const RequestId request = d.submitRequest();
            d.advance(1s);
            d.establishConnection(request);
        }
        EndpointEntry newEndpoint = endpointEntry(99);
        for (std::uint64_t id = 1; id <= 19; ++id) {
            d.setReportedLoad(id, otherEndpointsLoad);
        }
        d.advance(6s);
        newEndpoint.startedAt = d.now();
        d.setReportedLoad(99, 0.0);
        d.updateEndpointList({newEndpoint}, EndpointListKind::Delta);
        d.advance(1s);
        for (int i = 0; i < requestsPerNode; ++i) {
            d.submitRequest();
            d.advance(gap);
        }
        d.advance(200ms);
        sent += d.attemptsTo(99);
    }
    return sent;
}

TEST(SlowStart, HundredNodesStayWithinBudgetDuringBurst) {
    // The new endpoint starts at 0.3 of 100 connections and reaches its full capacity after 9 s. After 1 s
    // its budget for 1.5 s is 4 times 0.38 of 11 connections a second: 25. By weight alone, a burst of 2,000
    // requests would send 50.
    int sent = 0;
    for (std::uint64_t run = 0; run < 4; ++run) {
        sent += attemptsToNewEndpoint(20, 10ms, 1000 * (run + 1));
    }
    EXPECT_LE(sent / 4, 25);
    EXPECT_GE(sent / 4, 3) << "the new endpoint has to be used";
}

TEST(SlowStart, HundredNodesWithLittleTrafficUseNewEndpoint) {
    // Each node gets one request a second for 4 s. By weight, about 8 of these 400 would go to the new
    // endpoint.
    EXPECT_GE(attemptsToNewEndpoint(4, 1s, 5000), 3);
}

TEST(SlowStart, HundredNodesStayWithinBudgetWithoutOtherCapacity) {
    int sent = 0;
    for (std::uint64_t run = 0; run < 4; ++run) {
        sent += attemptsToNewEndpoint(12, 100ms, 1000 * (run + 1), 0.9);
    }
    EXPECT_LE(sent / 4, 25);
}

// The load that a hundred nodes without connections send within 2 s to an endpoint that started 2 s ago,
// beside eleven others at 0.7, in microseconds of work a second. Each node gets one request in that time.
double loadFromNodesWithoutConnections(double capacityUnits, std::uint64_t seed) {
    double sent = 0.0;
    for (std::uint32_t node = 0; node < 100; ++node) {
        Settings settings = nodeOfHundred(node, seed);
        settings.weightKind = WeightKind::Nominal;
        settings.operatingLimits = OperatingLimits{16ms, 500ms, 0.16, 23s, 3.0, 2s, 10s};
        DecisionEngineDriver d{settings};
        std::vector<EndpointEntry> entries;
        for (std::uint64_t id = seed + 1; id <= seed + 12; ++id) {
            entries.push_back(endpointEntry(id));
            entries.back().listedCapacity = capacityUnits;
            d.setReportedLoad(id, 0.7);
        }
        entries.back().startedAt = d.now();
        d.setReportedLoad(seed + 12, 0.0);
        d.updateEndpointList(entries);
        d.advance(2s + 20ms * node);
        const RequestId request = d.submitRequestWithLoad(50'000);
        d.advance(200ms);
        if (d.target(request) == seed + 12) sent += 50'000;
    }
    return sent;
}

// Guards against capacity estimates from too few connections: where there are many nodes, each has at most
// one connection.
TEST(SlowStart, NodesWithoutConnectionsUseListedCapacity) {
    // The budget of the new endpoint in 2 s is 3 times 0.23 of the load that fills it in 23 s: with 4.5 cores
    // that is 270,000.
    double small = 0.0;
    double large = 0.0;
    for (std::uint64_t run = 1; run <= 20; ++run) {
        small += loadFromNodesWithoutConnections(4.5, 1000 * run) / 20;
        large += loadFromNodesWithoutConnections(18.0, 1000 * run) / 20;
    }
    EXPECT_LE(small, 270'000);
    EXPECT_GE(small, 270'000 / 3);
    EXPECT_LE(large, 4 * 270'000);
    EXPECT_GE(large, 2 * small);
}

TEST(SlowStart, InvalidListedCapacityCountsAsTypical) {
    Settings settings = defaultSettings();
    settings.weightKind = WeightKind::Nominal;
    DecisionEngineDriver d{settings};
    std::vector<EndpointEntry> entries{endpointEntry(1), endpointEntry(2), endpointEntry(3)};
    entries[0].listedCapacity = 0.0;
    entries[1].listedCapacity = -4.0;
    entries[2].listedCapacity = 4.0;
    for (const std::uint64_t id : {1U, 2U, 3U}) {
        d.setReportedLoad(id, 0.3);
    }
    d.updateEndpointList(entries);
    d.serveRequests(300);
    for (const std::uint64_t id : {1U, 2U, 3U}) {
        EXPECT_GT(d.attemptsTo(id), 60) << id;
        EXPECT_LT(d.attemptsTo(id), 140) << id;
    }
}

// A fleet of one idle endpoint, two seconds after the endpoint's start.
DecisionEngineDriver fleetOfOneNewEndpoint(const Settings& settings) {
    DecisionEngineDriver d{settings};
    EndpointEntry newEndpoint = endpointEntry(1);
    newEndpoint.startedAt = d.now();
    d.setReportedLoad(1, 0.0);
    d.updateEndpointList({newEndpoint});
    d.advance(2s);
    return d;
}

TEST(SlowStart, RequestThatNeedsTooManySlotsIsAnsweredWithoutAttempt) {
    Settings settings = defaultSettings();
    settings.nodes = 1;
    DecisionEngineDriver d = fleetOfOneNewEndpoint(settings);
    // 5e6 needs more slots than can be open at this endpoint, and is more than the capacity of 2e6 of the
    // smallest expected endpoint, which has two cores.
    const RequestId heavy = d.submitRequestWithLoad(5e6);
    d.advance(1s);
    EXPECT_EQ(d.attempts(heavy), 0);
    EXPECT_EQ(d.finalAnswers(heavy), 1);
    EXPECT_EQ(d.target(d.submitRequest()), 1U) << "a request of typical load has to be sent";
}

// Guards against an endpoint that is never used because its listed start time is in the future: it counts as
// starting now.
TEST(SlowStart, StartTimeInTheFutureCountsAsNow) {
    Settings settings = defaultSettings();
    settings.nodes = 1;
    DecisionEngineDriver d = makeFleet(settings, 2, 0.5);
    EndpointEntry newEndpoint = endpointEntry(9);
    newEndpoint.startedAt = d.now() + 3600s;
    d.setReportedLoad(9, 0.0);
    d.updateEndpointList({newEndpoint}, EndpointListKind::Delta);
    for (int i = 0; i < 40; ++i) {
        d.endAttempt(d.submitRequest(), Outcome::Ok, true);
    }
    EXPECT_EQ(d.attemptsTo(9), 0) << "no slow-start slot is due yet";
    d.advance(4s);
    d.serveRequests(40);
    EXPECT_GE(d.attemptsTo(9), 1);
    EXPECT_LE(d.attemptsTo(9), 3);
    d.advance(6s);
    d.serveRequests(100);
    EXPECT_GT(d.attemptsTo(9), 20) << "slow start has ended";
}

// Guards against nodes without an index that use the same slots and therefore send at the same time.
TEST(SlowStart, NodesWithoutIndexDoNotSendAllAtOnce) {
    int sent = 0;
    for (std::uint32_t node = 0; node < 100; ++node) {
        Settings settings = nodeOfHundred(node, 9000);
        settings.nodeIndex.reset();
        DecisionEngineDriver d = makeFleet(settings, 2, 0.5);
        EndpointEntry newEndpoint = endpointEntry(9);
        newEndpoint.startedAt = d.now();
        d.setReportedLoad(9, 0.0);
        d.updateEndpointList({newEndpoint}, EndpointListKind::Delta);
        for (int step = 0; step < 40; ++step) {
            d.advance(100ms);
            d.submitRequest();
        }
        sent += d.attemptsTo(9);
    }
    EXPECT_GE(sent, 1);
    EXPECT_LE(sent, 25) << "the budget in these 4 s is about ten";
}

TEST(SlowStart, RetriesCountTowardsBudget) {
    Settings settings = defaultSettings();
    settings.operatingLimits.overloadMultiple = 1.0;
    DecisionEngineDriver d = fleetOfOneNewEndpoint(settings);
    const int before = d.attemptsTo(1);
    for (int i = 0; i < 20; ++i) {
        const RequestId request = d.submitRequest();
        if (d.attempts(request) > 0) d.endAttempt(request, Outcome::Error);
    }
    EXPECT_LE(d.attemptsTo(1) - before, 1);
}

// ---- SlowStart without the engine ----

// One of many nodes, and an endpoint 1 that started at kNow beside a warm endpoint 2.
struct SlowStartFixture : DecisionFixture {
    FleetCapacityEstimate capacity;
    ConnectionLoadEstimate loads;
    KindCapacityEstimate kinds;

    explicit SlowStartFixture(std::uint32_t nodes = 100, std::optional<std::uint32_t> nodeIndex = 0) {
        settings.nodes = nodes;
        settings.nodeIndex = nodeIndex;
        EndpointEntry started = endpointEntry(1);
        started.startedAt = kNow;
        started.listedCapacity = 40.0;
        EndpointEntry warm = endpointEntry(2);
        warm.listedCapacity = 40.0;
        list({started, warm}, WeightKind::Nominal);
    }

    SlowStartSlots slots(Time now) {
        const DecisionContext at = context(now);
        return SlowStart{at, capacity, loads, kinds}.slots(endpoint(1));
    }
    bool admits(const Request& request, Time now) {
        const DecisionContext at = context(now);
        return SlowStart{at, capacity, loads, kinds}.admits(request, endpoint(1));
    }
    // Returns the adjusted weights of both endpoints.
    std::pair<double, double> adjustWeightsToSlots(double newWeight, double warmWeight,
                                                   Time now = kNow + 4s) {
        const DecisionContext at = context(now);
        CandidateSet set;
        set.candidates = {{&endpoint(1), 0, 1.0}, {&endpoint(2), 0, 1.0}};
        set.candidates[0].weight = newWeight;
        set.candidates[1].weight = warmWeight;
        set.totalWeight = newWeight + warmWeight;
        ArrivalRate arrivals;
        arrivals.start(now);
        SlowStart{at, capacity, loads, kinds}.adjustWeightsToSlots(set, arrivals);
        return {set.candidates[0].weight, set.candidates[1].weight};
    }
};

Request requestWithLoad(std::optional<double> loadHint, std::uint64_t randomNumber = 1) {
    Request request;
    request.arrival.loadHint = loadHint;
    request.randomNumber = randomNumber;
    return request;
}

// The number of open slots of all nodes together.
double slotsOfAllNodes(std::uint32_t nodes, Time now) {
    double sum = 0.0;
    for (std::uint32_t node = 0; node < nodes; ++node)
        sum += SlowStartFixture{nodes, node}.slots(now).openAtThisNode;
    return sum;
}

TEST(SlowStartSlots, BelongToOneNodeEach) {
    for (const std::uint32_t nodes : {1U, 2U, 3U, 17U, 100U}) {
        for (const Micros elapsed : {Micros{2s}, Micros{5s}, Micros{8900ms}}) {
            const double open = SlowStartFixture{nodes}.slots(kNow + elapsed).maxOpen;
            EXPECT_NEAR(slotsOfAllNodes(nodes, kNow + elapsed), open, 1.0) << nodes << " nodes";
        }
    }
}

TEST(SlowStartSlots, NoneIsDueAtTheStart) {
    EXPECT_EQ(slotsOfAllNodes(100, kNow), 0.0);
}

TEST(SlowStartSlots, AreConsumedUpToTheRecordedTime) {
    SlowStartFixture f{1};
    EXPECT_GT(f.slots(kNow + 5s).openAtThisNode, 0.0);
    f.endpoint(1).slowStartSlotsUsedUntil = kNow + 5s;
    EXPECT_EQ(f.slots(kNow + 5s).openAtThisNode, 0.0);
}

TEST(SlowStartSlots, RateFollowsWarmUpCapacityAndMultiple) {
    SlowStartFixture f;
    // 40 cores at 40,000 a connection, of which half is used: 500 connections, times 0.8 * 4 over 9 s.
    const double whenWarm = 0.8 * 4.0 * 500 / 9;
    EXPECT_NEAR(f.slots(kNow).perSecond, 0.3 * whenWarm, 1e-6);
    EXPECT_NEAR(f.slots(kNow + 4500ms).perSecond, 0.65 * whenWarm, 1e-6);
}

TEST(SlowStartSlots, WithoutNodeIndexFollowTheSeed) {
    SlowStartFixture first{100, std::nullopt};
    SlowStartFixture same{100, std::nullopt};
    std::set<double> distinct;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        first.settings.seed = same.settings.seed = seed;
        EXPECT_EQ(first.slots(kNow + 4s).openAtThisNode, same.slots(kNow + 4s).openAtThisNode);
        distinct.insert(first.slots(kNow + 4s).openAtThisNode);
    }
    EXPECT_GT(distinct.size(), 1U) << "the nodes have to use different slots";
}

TEST(SlowStartSlots, AdmitRequestsWhileOpen) {
    SlowStartFixture f{1};
    EXPECT_FALSE(f.admits(requestWithLoad(std::nullopt), kNow)) << "no slot is due";
    EXPECT_TRUE(f.admits(requestWithLoad(std::nullopt), kNow + 5s));
    f.endpoint(1).slowStartSlotsUsedUntil = kNow + 5s;
    EXPECT_FALSE(f.admits(requestWithLoad(std::nullopt), kNow + 5s));
}

TEST(SlowStartSlots, AdmitHeavyRequestsRarelyAndTooHeavyOnesNever) {
    SlowStartFixture f{1};
    const double open = f.slots(kNow + 5s).maxOpen;
    const double typical = f.loads.typical();
    int heavy = 0;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        heavy += f.admits(requestWithLoad(typical * (open + 0.9), i), kNow + 5s) ? 1 : 0;
        EXPECT_FALSE(f.admits(requestWithLoad(typical * (open + 1.1), i), kNow + 5s));
    }
    EXPECT_GT(heavy, 0);
    EXPECT_LT(heavy, 1000);
}

TEST(SlowStartSlots, InvalidLoadHintCountsAsOneConnection) {
    for (std::uint32_t node = 0; node < 100; ++node) {
        SlowStartFixture f{100, node};
        for (const double hint : {kNaN, -1e12, 0.0}) {
            EXPECT_EQ(f.admits(requestWithLoad(hint), kNow + 5s),
                      f.admits(requestWithLoad(std::nullopt), kNow + 5s));
        }
    }
}

TEST(SlowStartWeights, AreUnchangedForSingleNode) {
    SlowStartFixture f{1};
    const auto [newWeight, warmWeight] = f.adjustWeightsToSlots(20.0, 80.0);
    EXPECT_NEAR(newWeight, 20.0, 1e-9);
    EXPECT_EQ(warmWeight, 80.0);
}

TEST(SlowStartWeights, AreRaisedWhenSlotsAreFew) {
    SlowStartFixture f{1000};
    const auto [newWeight, warmWeight] = f.adjustWeightsToSlots(20.0, 80.0);
    EXPECT_GT(newWeight, 80.0);
    EXPECT_EQ(warmWeight, 80.0);
    EXPECT_TRUE(std::isfinite(newWeight)) << "the probability stays below 1";
}

TEST(SlowStartWeights, AreUnchangedWithoutWarmEndpointsOrWithoutWeight) {
    SlowStartFixture f{1000};
    EXPECT_EQ(f.adjustWeightsToSlots(20.0, 0.0).first, 20.0);
    EXPECT_EQ(f.adjustWeightsToSlots(20.0, -5.0).first, 20.0);
    EXPECT_EQ(f.adjustWeightsToSlots(0.0, 80.0).first, 0.0);
    EXPECT_EQ(f.adjustWeightsToSlots(-1.0, 80.0).first, -1.0);
}

}  // namespace
}  // namespace ivyreel::test
