// Drain evidence: which events count as evidence, which events clear it, and how many endpoints may be
// withheld.
#include "membership/drain_evidence.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace ivyreel::test {
namespace {

using namespace std::chrono_literals;

constexpr EndpointId kEndpoint{1};
constexpr EndpointId kOther{2};

LoadReport utilisation(double share) {
    LoadReport report;
    report.loadOverCapacity = share;
    return report;
}

// Ready endpoints with consecutive ids from 1, and a stale list.
struct Fixture {
    Time now = 100s;
    DrainEvidence evidence;

    explicit Fixture(std::uint64_t endpoints = 9) {
        std::vector<ListedEndpoint> listed;
        for (std::uint64_t id = 1; id <= endpoints; ++id) {
            listed.push_back({EndpointId{id}, Availability::Ready, 50s});
        }
        handle(ListEntriesReceived{true, listed});
        setFreshness(ListFreshness::State::Stale);
    }

    WithholdingChange handle(const DrainEvent& event) { return evidence.handle(now, event); }

    void setFreshness(ListFreshness::State state) { handle(ListFreshnessChanged{{state, now}}); }

    void sendMove(EndpointId endpoint) { handle(EndpointSentMove{endpoint}); }

    void reportLoad(EndpointId endpoint, double share) {
        handle(EndpointReportedLoad{endpoint, utilisation(share)});
    }

    void reject(EndpointId endpoint, const std::optional<LoadReport>& load = std::nullopt,
                Micros elapsed = 1ms) {
        handle(EndpointRejectedConnection{endpoint, load, elapsed, 300ms});
    }

    void updateList(EndpointId endpoint, Availability availability, Time started = 50s) {
        handle(ListEntriesReceived{false, {{endpoint, availability, started}}});
    }

    std::size_t withheld(std::uint64_t endpoints) const {
        std::size_t count = 0;
        for (std::uint64_t id = 1; id <= endpoints; ++id) {
            if (evidence.withholds(EndpointId{id})) ++count;
        }
        return count;
    }
};

// ---- MOVE ----

TEST(DrainEvidence, OneMoveWithholdsWhileListIsStale) {
    Fixture f;
    const WithholdingChange change = f.handle(EndpointSentMove{kEndpoint});
    EXPECT_EQ(change.withheld, std::vector{kEndpoint});
    EXPECT_TRUE(change.released.empty());
    EXPECT_TRUE(f.evidence.withholds(kEndpoint));
    EXPECT_FALSE(f.evidence.withholds(kOther));
    EXPECT_TRUE(f.handle(EndpointSentMove{kEndpoint}).empty()) << "the endpoint is already withheld";
}

TEST(DrainEvidence, OneMoveWithholdsWhileListIsCatchingUp) {
    Fixture f;
    f.setFreshness(ListFreshness::State::CatchingUp);
    f.sendMove(kEndpoint);
    EXPECT_TRUE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, MoveIsIgnoredWhileListIsLive) {
    Fixture f;
    f.setFreshness(ListFreshness::State::Live);
    f.sendMove(kEndpoint);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
    f.setFreshness(ListFreshness::State::Stale);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, ListIsInitiallyLive) {
    DrainEvidence evidence;
    evidence.handle(1s, ListEntriesReceived{
                            true, {{kEndpoint, Availability::Ready, 0s}, {kOther, Availability::Ready, 0s}}});
    EXPECT_TRUE(evidence.handle(2s, EndpointSentMove{kEndpoint}).empty());
}

TEST(DrainEvidence, MoveOfUnlistedEndpointIsIgnored) {
    Fixture f;
    f.sendMove(EndpointId{99});
    EXPECT_FALSE(f.evidence.withholds(EndpointId{99}));
    EXPECT_EQ(f.evidence.nextExpiry(), Time::max());
}

// ---- BUSY ----

TEST(DrainEvidence, TwoRejectionsByEndpointWithCapacityWithhold) {
    Fixture f;
    f.reportLoad(kEndpoint, 0.3);
    f.reject(kEndpoint);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint)) << "one BUSY is not sufficient";
    f.reject(kEndpoint);
    EXPECT_TRUE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, LoadReportOfRejectionCounts) {
    Fixture f;
    f.reject(kEndpoint, utilisation(0.3));
    f.reject(kEndpoint, utilisation(0.3));
    EXPECT_TRUE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, CpuUtilisationIsUsedIfReportHasNoLoad) {
    Fixture f;
    LoadReport cores;
    cores.cpuUtilisation = 0.3;
    f.reject(kEndpoint, cores);
    f.reject(kEndpoint, cores);
    EXPECT_TRUE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, RejectionsByFullEndpointDoNotCount) {
    Fixture f;
    f.reportLoad(kEndpoint, 0.3);
    for (int i = 0; i < 5; ++i) {
        f.reject(kEndpoint, utilisation(kFullUtilisationThreshold + 0.01));
    }
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, RejectionsByEndpointOfUnknownUtilisationDoNotCount) {
    Fixture f;
    f.reject(kEndpoint);
    f.reject(kEndpoint);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, OldUtilisationCountsAsUnknown) {
    Fixture f;
    f.reportLoad(kEndpoint, 0.3);
    f.now += kUtilisationLifetime + 1us;
    f.reject(kEndpoint);
    f.reject(kEndpoint);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, RestartDiscardsUtilisation) {
    Fixture f;
    f.reportLoad(kEndpoint, 0.3);
    f.updateList(kEndpoint, Availability::Ready, 90s);
    f.reject(kEndpoint);
    f.reject(kEndpoint);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, RejectionsAtClientTimeoutDoNotCount) {
    Fixture f;
    f.reportLoad(kEndpoint, 0.3);
    f.reject(kEndpoint, std::nullopt, 290ms);
    f.reject(kEndpoint, std::nullopt, 290ms);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, RejectionsWhileListIsLiveDoNotCount) {
    Fixture f;
    f.setFreshness(ListFreshness::State::Live);
    f.reportLoad(kEndpoint, 0.3);
    f.reject(kEndpoint);
    f.reject(kEndpoint);
    f.setFreshness(ListFreshness::State::Stale);
    f.reject(kEndpoint);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, AcceptedConnectionResetsRejections) {
    Fixture f;
    f.reportLoad(kEndpoint, 0.3);
    f.reject(kEndpoint);
    f.handle(EndpointAcceptedConnection{kEndpoint, f.now + 1ms});
    f.reject(kEndpoint);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
    f.reject(kEndpoint);
    EXPECT_TRUE(f.evidence.withholds(kEndpoint));
}

// ---- clearing of evidence ----

TEST(DrainEvidence, AcceptedConnectionClearsEvidenceOnlyIfAttemptStartedAfterIt) {
    Fixture f;
    const Time before = f.now;
    f.now += 1s;
    f.sendMove(kEndpoint);
    f.now += 1s;
    EXPECT_TRUE(f.handle(EndpointAcceptedConnection{kEndpoint, before}).empty())
        << "the attempt started before the evidence";
    EXPECT_TRUE(f.evidence.withholds(kEndpoint));
    f.handle(EndpointAcceptedConnection{kOther, f.now});
    EXPECT_TRUE(f.evidence.withholds(kEndpoint)) << "an UP from another endpoint does not clear the evidence";
    const WithholdingChange change = f.handle(EndpointAcceptedConnection{kEndpoint, f.now});
    EXPECT_EQ(change.released, std::vector{kEndpoint});
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, LiveListClearsAllEvidence) {
    Fixture f;
    f.sendMove(kEndpoint);
    f.sendMove(kOther);
    const WithholdingChange change = f.handle(ListFreshnessChanged{{ListFreshness::State::Live, f.now}});
    EXPECT_EQ(change.released, (std::vector{kEndpoint, kOther}));
    EXPECT_EQ(f.evidence.nextExpiry(), Time::max());
    f.setFreshness(ListFreshness::State::Stale);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint)) << "the evidence was cleared when the list became live";
}

TEST(DrainEvidence, ListEntryClearsEvidenceOnlyIfStartTimeIsLater) {
    Fixture f;
    f.sendMove(kEndpoint);
    f.updateList(kEndpoint, Availability::Ready, 50s);
    EXPECT_TRUE(f.evidence.withholds(kEndpoint)) << "the endpoint has not restarted since the MOVE";
    f.updateList(kEndpoint, Availability::Ready, 51s);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, LeavingTheListClearsEvidence) {
    Fixture f;
    f.sendMove(kEndpoint);
    f.updateList(kEndpoint, Availability::Gone);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
    f.updateList(kEndpoint, Availability::Ready);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint)) << "the endpoint is listed again";
}

TEST(DrainEvidence, EvidenceExpiresIfNotConfirmed) {
    Fixture f;
    EXPECT_EQ(f.evidence.nextExpiry(), Time::max());
    f.sendMove(kEndpoint);
    f.now += kEvidenceLifetime - 1us;
    EXPECT_TRUE(f.evidence.expire(f.now).empty());
    f.sendMove(kEndpoint);
    EXPECT_EQ(f.evidence.nextExpiry(), f.now + kEvidenceLifetime) << "confirmed";
    f.now += kEvidenceLifetime;
    EXPECT_EQ(f.evidence.expire(f.now).released, std::vector{kEndpoint});
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
    EXPECT_EQ(f.evidence.nextExpiry(), Time::max());
}

TEST(DrainEvidence, ExpiredRejectionDoesNotCount) {
    Fixture f;
    f.reject(kEndpoint, utilisation(0.3));
    f.now += kEvidenceLifetime;
    f.reject(kEndpoint, utilisation(0.3));
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
}

TEST(DrainEvidence, RejectionDoesNotProlongMove) {
    Fixture f;
    f.sendMove(kEndpoint);
    const Time expiry = f.evidence.nextExpiry();
    f.now += 10s;
    f.reject(kEndpoint, utilisation(0.3));
    f.reject(kEndpoint, utilisation(0.3));
    EXPECT_EQ(f.evidence.nextExpiry(), expiry);
}

// ---- limits ----

TEST(DrainEvidence, LimitKeepsPartOfTheEndpointsAvailable) {
    struct Case {
        std::uint64_t endpoints;
        std::size_t maxWithheld;
    };
    for (const Case& pool : {Case{1, 0}, Case{2, 1}, Case{3, 1}, Case{4, 2}, Case{30, 10}}) {
        Fixture one{pool.endpoints};
        one.sendMove(kEndpoint);
        EXPECT_EQ(one.withheld(pool.endpoints), pool.endpoints == 1 ? 0U : 1U)
            << pool.endpoints << " endpoints";
        Fixture all{pool.endpoints};
        for (std::uint64_t id = 1; id <= pool.endpoints; ++id) {
            all.sendMove(EndpointId{id});
        }
        EXPECT_EQ(all.withheld(pool.endpoints), pool.maxWithheld) << pool.endpoints << " endpoints";
    }
}

TEST(DrainEvidence, MoveTakesPrecedenceOverRejectionsAtLimit) {
    Fixture f{2};
    f.reject(kEndpoint, utilisation(0.3));
    f.reject(kEndpoint, utilisation(0.3));
    ASSERT_TRUE(f.evidence.withholds(kEndpoint));
    f.now += 1s;
    const WithholdingChange change = f.handle(EndpointSentMove{kOther});
    EXPECT_EQ(change.withheld, std::vector{kOther});
    EXPECT_EQ(change.released, std::vector{kEndpoint});
}

TEST(DrainEvidence, OldestEvidenceTakesPrecedenceAtLimit) {
    Fixture f{3};
    f.sendMove(kOther);
    f.now += 1s;
    f.sendMove(kEndpoint);
    EXPECT_TRUE(f.evidence.withholds(kOther));
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
    f.now += kEvidenceLifetime - 1s;
    const WithholdingChange change = f.evidence.expire(f.now);
    EXPECT_EQ(change.released, std::vector{kOther});
    EXPECT_EQ(change.withheld, std::vector{kEndpoint});
}

TEST(DrainEvidence, LimitFollowsNumberOfReadyEndpoints) {
    Fixture f{4};
    f.sendMove(kEndpoint);
    f.now += 1s;
    f.sendMove(kOther);
    ASSERT_EQ(f.withheld(4), 2U);
    f.updateList(EndpointId{4}, Availability::Draining);
    EXPECT_EQ(f.withheld(4), 1U) << "three endpoints are ready, which allows one";
    EXPECT_TRUE(f.evidence.withholds(kEndpoint));
    f.updateList(EndpointId{3}, Availability::Draining);
    f.updateList(kOther, Availability::Draining);
    EXPECT_EQ(f.withheld(4), 0U) << "the last ready endpoint is not withheld";
}

TEST(DrainEvidence, LastEndpointThatIsNotBannedIsNotWithheld) {
    Fixture f{2};
    f.handle(OperatorBanChanged{kOther, true});
    f.sendMove(kEndpoint);
    EXPECT_FALSE(f.evidence.withholds(kEndpoint));
    f.handle(OperatorBanChanged{kOther, false});
    EXPECT_TRUE(f.evidence.withholds(kEndpoint));
}

}  // namespace
}  // namespace ivyreel::test
