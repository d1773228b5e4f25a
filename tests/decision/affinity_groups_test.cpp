// Affinity groups: all nodes send the requests of a group to the same few endpoints.
#include "decision/affinity_groups.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(AffinityGroups, AllNodesSelectTheSameEndpoint) {
    Settings settings = defaultSettings();
    settings.groupAffinity = true;
    std::uint64_t first = 0;
    for (std::uint64_t seed = 1; seed < 6; ++seed) {
        settings.seed = seed;
        DecisionEngineDriver d = makeFleet(settings, 12, 0.3);
        const std::uint64_t target = d.target(d.submitRequest(99));
        EXPECT_EQ(d.target(d.submitRequest(99)), target);
        if (first == 0) first = target;
        EXPECT_EQ(target, first);
    }
}

TEST(AffinityGroups, UseFewEndpointsDespiteDifferingReports) {
    std::map<std::uint64_t, int> targets;
    for (std::uint32_t node = 0; node < 100; ++node) {
        Settings settings = defaultSettings();
        settings.nodes = 100;
        settings.seed = 4000 + node;
        settings.groupAffinity = true;
        std::vector<double> loads;
        for (std::uint32_t i = 0; i < 40; ++i) {
            // Nodes have load reports of different ages.
            loads.push_back(0.1 + 0.05 * ((node * 7 + i * 13) % 15));
        }
        DecisionEngineDriver d = makeFleet(settings, loads);
        const RequestId request = d.submitRequest(99);
        d.advance(100ms);
        ++targets[d.target(request)];
    }
    EXPECT_EQ(targets.count(0), 0U);
    EXPECT_LE(targets.size(), 4U);
}

// The number of endpoints that get requests of one group on a busy fleet with changing load reports, after
// 200 requests of `otherGroups` other groups, or of the group itself if that is 0.
std::size_t endpointsOfGroup(std::uint64_t otherGroups) {
    Settings settings = defaultSettings();
    settings.nodes = 1;
    settings.groupAffinity = true;
    settings.seed = 11;
    DecisionEngineDriver d = makeFleet(settings, 12, 0.7);
    const auto sendOne = [&d](std::uint64_t group) {
        const RequestId request = d.submitRequest(group);
        const std::uint64_t target = d.target(request);
        d.endAttempt(request, Outcome::Ok, true);
        return target;
    };
    for (std::uint64_t i = 0; i < 200; ++i)
        sendOne(otherGroups == 0 ? 1 : 1000 + i % otherGroups);
    std::set<std::uint64_t> targets;
    for (std::uint64_t round = 0; round < 40; ++round) {
        for (std::uint64_t id = 1; id <= 12; ++id)
            d.setReportedLoad(id, (id * 5 + round * 7) % 12 < 6 ? 0.82 : 0.6);
        d.advance(1500ms);
        targets.insert(sendOne(1));
    }
    targets.erase(0);
    return targets.size();
}

// Guards against rejecting requests of a group that needs more than a few endpoints while others are idle.
TEST(AffinityGroups, LargeGroupGetsMoreEndpointsOnBusyFleet) {
    EXPECT_LE(endpointsOfGroup(200), 3U);
    EXPECT_GE(endpointsOfGroup(0), 5U);
}

// ---- AffinityGroups without the engine ----

TEST(AffinityGroups, CountConnectionsByGroupAndEndpoint) {
    AffinityGroups groups;
    groups.changeConnections(GroupId{1}, EndpointId{5}, 1);
    groups.changeConnections(GroupId{1}, EndpointId{5}, 1);
    groups.changeConnections(GroupId{1}, EndpointId{9}, 1);
    groups.changeConnections(GroupId{2}, EndpointId{7}, 1);
    AffinityGroups::ConnectionCountCursor counts = groups.connectionCountsOf(GroupId{1});
    EXPECT_EQ(counts.countAt(EndpointId{1}), 0);
    EXPECT_EQ(counts.countAt(EndpointId{5}), 2);
    EXPECT_EQ(counts.countAt(EndpointId{5}), 2) << "the same endpoint again";
    EXPECT_EQ(counts.countAt(EndpointId{7}), 0) << "connections of another group";
    EXPECT_EQ(counts.countAt(EndpointId{9}), 1);
    EXPECT_EQ(counts.countAt(EndpointId{99}), 0);
    EXPECT_EQ(groups.connectionCountsOf(GroupId{3}).countAt(EndpointId{5}), 0);
}

TEST(AffinityGroups, CountsDoNotFallBelowZero) {
    AffinityGroups groups;
    groups.changeConnections(GroupId{1}, EndpointId{5}, -1);
    groups.changeConnections(GroupId{1}, EndpointId{5}, 1);
    EXPECT_EQ(groups.connectionCountsOf(GroupId{1}).countAt(EndpointId{5}), 1);
    groups.changeConnections(GroupId{1}, EndpointId{5}, -1);
    EXPECT_EQ(groups.connectionCountsOf(GroupId{1}).countAt(EndpointId{5}), 0);
}

TEST(AffinityGroups, SmallGroupsHaveTwoEndpoints) {
    AffinityGroups groups;
    EXPECT_EQ(groups.endpointsPerGroup(0), 2);
    EXPECT_EQ(groups.endpointsPerGroup(12), 2) << "no arrivals were recorded";
    for (std::uint64_t group = 1; group <= 1000; ++group)
        groups.recordArrival(GroupId{group});
    EXPECT_EQ(groups.endpointsPerGroup(100), 2);
}

TEST(AffinityGroups, EndpointCountRisesWithProbabilityOfSameGroup) {
    AffinityGroups single;
    AffinityGroups five;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        single.recordArrival(GroupId{1});
        five.recordArrival(GroupId{1 + i % 5});
    }
    EXPECT_EQ(single.endpointsPerGroup(100), 300) << "three times all endpoints: there is no upper bound";
    EXPECT_EQ(five.endpointsPerGroup(100), 60);
}

TEST(AffinityGroups, ResetsArrivalCountsAfterTooManyGroups) {
    AffinityGroups groups;
    for (int i = 0; i < 5000; ++i)
        groups.recordArrival(GroupId{1});
    for (std::uint64_t group = 2; group <= 4096; ++group)
        groups.recordArrival(GroupId{group});
    EXPECT_GT(groups.endpointsPerGroup(100), 80);
    groups.recordArrival(GroupId{5000});
    EXPECT_EQ(groups.endpointsPerGroup(100), 8) << "the same as after the first arrival";
}

}  // namespace
}  // namespace ivyreel::test
