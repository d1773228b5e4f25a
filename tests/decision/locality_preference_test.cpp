// Preference for endpoints in this node's own zone.
#include "decision/locality_preference.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

double localZoneShare(double reportedLoad, double availabilityWeight = 0.0) {
    Settings settings = defaultSettings();
    settings.nodes = 1;
    settings.availabilityWeight = availabilityWeight;
    DecisionEngineDriver d{settings};
    d.setReportedLoad(1, reportedLoad);
    d.setReportedLoad(2, reportedLoad);
    d.updateEndpointList({endpointEntry(1, 0), endpointEntry(2, 1)});
    int own = 0;
    for (int i = 0; i < 4000; ++i) {
        const RequestId request = d.submitRequest();
        own += d.target(request) == 1 ? 1 : 0;
        d.endAttempt(request, Outcome::Ok, true);
    }
    return own / 4000.0;
}

TEST(LocalityPreference, PrefersOwnZoneAndSpillsOverNearSaturationThreshold) {
    EXPECT_GT(localZoneShare(0.3), 0.7);
    EXPECT_LT(localZoneShare(0.3), 0.85) << "other zones have to keep a share";
    EXPECT_NEAR(localZoneShare(0.84), 0.5, 0.05);
}

// Guards against losing the preference where the saturation threshold is low.
TEST(LocalityPreference, PrefersOwnZoneWithLowSaturationThreshold) {
    EXPECT_GT(localZoneShare(0.3, 1.0), 0.7);
}

// Guards against unnecessary cross-zone connections of affinity groups while the own zone has spare capacity:
// half of all their connections crossed zones.
TEST(LocalityPreference, GroupsStayInZoneDependingOnCrossZoneCost) {
    const auto crossing = [](double cost) {
        Settings settings = defaultSettings();
        settings.nodes = 1;
        settings.groupAffinity = true;
        settings.crossZoneCost = cost;
        DecisionEngineDriver d{settings};
        for (std::uint64_t id = 1; id <= 8; ++id)
            d.setReportedLoad(id, 0.3);
        d.updateEndpointList({endpointEntry(1, 0), endpointEntry(2, 0), endpointEntry(3, 0),
                              endpointEntry(4, 0), endpointEntry(5, 1), endpointEntry(6, 1),
                              endpointEntry(7, 1), endpointEntry(8, 1)});
        int crossZoneCount = 0;
        for (std::uint64_t group = 1; group <= 1000; ++group) {
            const RequestId request = d.submitRequest(group);
            crossZoneCount += d.target(request) > 4 ? 1 : 0;
            d.endAttempt(request, Outcome::Ok, true);
        }
        return crossZoneCount / 1000.0;
    };
    EXPECT_NEAR(crossing(0.0), 0.5, 0.07);
    EXPECT_NEAR(crossing(0.02), 0.17, 0.05);
    EXPECT_LT(crossing(0.13), 0.07);
}

// ---- crossZoneWeight without the engine ----

// The weight factor of other zones if the only endpoint in the own zone has this load over capacity.
double weightAtLoad(double reportedLoad, double crossZoneCost = 0.02) {
    DecisionFixture f;
    f.settings.crossZoneCost = crossZoneCost;
    f.list({endpointEntry(1, 0), endpointEntry(2, 1)});
    f.report(1, reportedLoad);
    f.report(2, 0.1);
    const FleetSnapshot fleet;
    const DecisionContext context = f.context();
    return crossZoneWeight(context, UtilisationEstimate{context, fleet});
}

TEST(LocalityPreference, OtherZonesHaveMinimumWeightWhileOwnZoneHasCapacity) {
    const double lowest = 0.005 / (0.005 + 0.02);
    EXPECT_DOUBLE_EQ(weightAtLoad(0.0), lowest);
    EXPECT_DOUBLE_EQ(weightAtLoad(0.64), lowest);
    EXPECT_DOUBLE_EQ(weightAtLoad(0.75), (lowest + 1.0) / 2) << "halfway to the threshold of 0.85";
}

TEST(LocalityPreference, EndsAtTheSaturationThreshold) {
    EXPECT_DOUBLE_EQ(weightAtLoad(0.85), 1.0);
    EXPECT_DOUBLE_EQ(weightAtLoad(3.0), 1.0);
}

TEST(LocalityPreference, WeightDecreasesWithCrossZoneCost) {
    EXPECT_DOUBLE_EQ(weightAtLoad(0.3, 0.0), 1.0)
        << "crossing zones costs nothing; there is no division by zero";
    EXPECT_DOUBLE_EQ(weightAtLoad(0.3, 0.005), 0.5);
    EXPECT_LT(weightAtLoad(0.3, 0.1), 0.05);
    EXPECT_LT(weightAtLoad(0.8, 0.1), weightAtLoad(0.8, 0.02))
        << "a high cost keeps the preference up to a higher load";
}

TEST(LocalityPreference, NeedsAUsableEndpointInTheOwnZone) {
    DecisionFixture f;
    const FleetSnapshot fleet;
    const DecisionContext context = f.context();
    const UtilisationEstimate utilisation{context, fleet};
    EXPECT_EQ(crossZoneWeight(context, utilisation), 1.0) << "there are no endpoints";
    f.list({endpointEntry(1, 0), endpointEntry(2, 1)});
    EXPECT_LT(crossZoneWeight(context, utilisation), 1.0);
    f.endpoints.setBanned(EndpointId{1}, true);
    EXPECT_EQ(crossZoneWeight(context, utilisation), 1.0);
}

}  // namespace
}  // namespace ivyreel::test
