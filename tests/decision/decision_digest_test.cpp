// One digest per case of all decisions in a seeded world of events. A refactoring must leave all digests as
// they are. A commit that changes decisions on purpose says which, and takes the new digests from the
// failure's message. Logarithm, exponential and square root are those of the C library: the digests hold for
// glibc on processors with fused multiply-add.
#include <gtest/gtest.h>

#include <cstdint>
#include <ios>

#include "generated_events.hpp"

namespace ivyreel::test {
namespace {

using namespace std::chrono_literals;

// The least counts show that a case still exercises the engine: each is about half of the count at recording.
struct ExpectedCase {
    GeneratedCase generated;
    std::uint64_t digest = 0;
    ActionCounts least;
};

Settings caseSettings(std::uint32_t nodes) {
    Settings s;
    s.nodes = nodes;
    s.nodeIndex = nodes / 2;
    s.classes = {{500ms, 3s, Idempotency::Idempotent, DeduplicationScope::All, 0us, 1.0, 100ms},
                 {300ms, 2s, Idempotency::WithKey, DeduplicationScope::Zone, 400ms, 2.0, 100ms},
                 {300ms, 2s, Idempotency::WithKey, DeduplicationScope::Cell, 700ms, 1.0, 0us},
                 {400ms, 2s, Idempotency::WithKey, DeduplicationScope::All, 200ms, 1.0, 100ms},
                 {500ms, 3s, Idempotency::NonIdempotent, DeduplicationScope::Cell, 0us, 1.0, 100ms}};
    s.tenants = {{1.0, 10.0}, {1.0, 0.0}, {2.0, 50.0}};
    s.limits = {3, true, false, true, true, 5s, 100ms};
    s.operatingLimits = {16ms, 500ms, 0.2, 8s, 3.0, 1s, 10s};
    s.loadReportMode = LoadReportMode::WithHealthChecks;
    return s;
}

GeneratedCase oneNode() {
    GeneratedCase c{"one node, listed capacities, pushed list", 1, caseSettings(1)};
    c.settings.weightKind = WeightKind::Nominal;
    c.targetLoad = 0.7;
    c.events = 20'000;
    return c;
}

GeneratedCase pollMode() {
    GeneratedCase c{"three nodes poll the list, groups share work, tenants over quota", 2, caseSettings(3)};
    c.settings.discoveryMode = DiscoveryMode::Poll;
    c.settings.groupAffinity = true;
    c.settings.overQuotaPriorityWeight = 0.5;
    c.endpoints = 40;
    c.secondsPerChange = 0.5;
    c.targetLoad = 0.85;
    c.events = 20'000;
    return c;
}

GeneratedCase largeFleet() {
    GeneratedCase c{"five hundred nodes, few arrivals, unanswered health checks", 3, caseSettings(500)};
    c.endpoints = 60;
    c.arrivalsPerSecond = 2.5;
    c.targetLoad = 0.5;
    c.unansweredHealthChecks = 0.2;
    c.events = 20'000;
    return c;
}

GeneratedCase noHealthChecks() {
    GeneratedCase c{"no health checks, no load reports, no Retry-After, passthrough", 4, caseSettings(3)};
    c.settings.limits.healthChecks = false;
    c.settings.limits.sendRetryAfter = false;
    c.settings.limits.canCancelAttempts = false;
    c.settings.loadReportMode = LoadReportMode::None;
    c.settings.forwardingMode = ForwardingMode::Passthrough;
    c.settings.operatingLimits.slowStartDuration = 0us;
    return c;
}

GeneratedCase overloaded() {
    GeneratedCase c{"overloaded, reports with responses, late messages, availability weight", 5,
                    caseSettings(3)};
    c.settings.loadReportMode = LoadReportMode::WithResponses;
    c.settings.availabilityWeight = 0.4;
    c.settings.crossZoneCost = 0.06;
    c.settings.overQuotaPriorityWeight = 0.3;
    c.targetLoad = 1.0;
    c.lateMessages = 0.9;
    c.events = 20'000;
    return c;
}

GeneratedCase manyGroups() {
    GeneratedCase c{"thousands of groups, near saturation, no node index", 6, caseSettings(2)};
    c.settings.groupAffinity = true;
    c.settings.nodeIndex.reset();
    c.settings.weightKind = WeightKind::Rough;
    c.endpoints = 82;
    c.distinctGroups = 0.8;
    c.targetLoad = 0.84;
    c.arrivalsPerSecond = 120.0;
    c.lateMessages = 0.0;
    c.events = 80'000;
    return c;
}

GeneratedCase smallEndpoints() {
    GeneratedCase c{"endpoints of one core, health checks without load reports", 7, caseSettings(4)};
    c.settings.weightKind = WeightKind::Nominal;
    c.settings.loadReportMode = LoadReportMode::None;
    c.capacityUnits = 1.0;
    c.endpoints = 20;
    return c;
}

GeneratedCase largeEndpoints() {
    GeneratedCase c{"endpoints of eighty cores, coarse clock, one attempt, long slow start", 8,
                    caseSettings(50)};
    c.settings.weightKind = WeightKind::Nominal;
    c.settings.eventResolution = 150ms;
    c.settings.limits.maxAttempts = 1;
    c.settings.operatingLimits.slowStartDuration = 30s;
    c.capacityUnits = 80.0;
    c.endpoints = 30;
    c.arrivalsPerSecond = 15.0;
    c.targetLoad = 0.3;
    c.events = 12'000;
    return c;
}

GeneratedCase lateMessages() {
    GeneratedCase c{"all messages late at low load, pushed list", 9, caseSettings(3)};
    c.lateMessages = 1.0;
    c.targetLoad = 0.65;
    c.arrivalsPerSecond = 60.0;
    c.secondsPerChange = 6.0;
    c.events = 20'000;
    return c;
}

GeneratedCase lowSaturationThreshold() {
    GeneratedCase c{"groups share work, low saturation threshold, late messages", 10, caseSettings(2)};
    c.settings.groupAffinity = true;
    c.settings.availabilityWeight = 0.4;
    c.endpoints = 60;
    c.distinctGroups = 0.4;
    c.arrivalsPerSecond = 100.0;
    c.targetLoad = 0.58;
    c.lateMessages = 0.7;
    c.events = 20'000;
    return c;
}

GeneratedCase frequentDrains() {
    GeneratedCase c{"endpoints drain again and again", 11, caseSettings(2)};
    c.endpoints = 20;
    c.targetLoad = 0.42;
    c.secondsPerChange = 0.25;
    c.events = 20'000;
    return c;
}

void expectAtLeast(const ActionCounts& counts, const ActionCounts& least) {
    EXPECT_GE(counts.attempts, least.attempts);
    EXPECT_GE(counts.rejections, least.rejections);
    EXPECT_GE(counts.failures, least.failures);
    EXPECT_GE(counts.cancellations, least.cancellations);
    EXPECT_GE(counts.migrations, least.migrations);
    EXPECT_GE(counts.healthChecks, least.healthChecks);
    EXPECT_GE(counts.watches, least.watches);
    EXPECT_GE(counts.timers, least.timers);
    EXPECT_GE(counts.events, least.events);
}

void expectRecorded(const ExpectedCase& expected) {
    const GeneratedResult result = runGeneratedCase(expected.generated);
    EXPECT_EQ(result.digest, expected.digest) << expected.generated.name << std::hex << ": now 0x"
                                              << result.digest << ", recorded 0x" << expected.digest;
    expectAtLeast(result.counts, expected.least);
}

// One test per case, so that the slow build with sanitizers runs them in parallel.
TEST(DecisionDigest, OneNode) {
    expectRecorded({oneNode(), 0xb27ea6efc5020daeULL, {2844, 485, 161, 0, 687, 551, 0, 2235, 20000}});
}

TEST(DecisionDigest, PollMode) {
    expectRecorded({pollMode(), 0xc75d8dd013561f7eULL, {2234, 517, 88, 3, 448, 1621, 14, 1935, 20000}});
}

TEST(DecisionDigest, LargeFleet) {
    expectRecorded({largeFleet(), 0x7067e1170cbe94bdULL, {803, 63, 27, 2, 4, 1510, 0, 5702, 20000}});
}

TEST(DecisionDigest, NoHealthChecks) {
    expectRecorded({noHealthChecks(), 0x301942339eb08269ULL, {702, 48, 30, 0, 8, 0, 0, 745, 6000}});
}

TEST(DecisionDigest, Overloaded) {
    expectRecorded({overloaded(), 0xdf4709e144613af0ULL, {256, 2822, 13, 1, 57, 901, 0, 4234, 20000}});
}

TEST(DecisionDigest, ManyGroups) {
    expectRecorded({manyGroups(), 0x49cba65f22de6d51ULL, {11420, 1097, 526, 2, 1562, 4984, 0, 3866, 80000}});
}

TEST(DecisionDigest, SmallEndpoints) {
    expectRecorded({smallEndpoints(), 0xb8c3360a052e30e9ULL, {724, 54, 48, 1, 2, 300, 0, 646, 6000}});
}

TEST(DecisionDigest, LargeEndpoints) {
    expectRecorded({largeEndpoints(), 0x0621ce1bd5348dc3ULL, {1119, 158, 68, 0, 108, 1631, 0, 778, 12000}});
}

TEST(DecisionDigest, LateMessages) {
    expectRecorded({lateMessages(), 0x00546ae0d2ed1491ULL, {2451, 902, 315, 0, 98, 583, 0, 2235, 20000}});
}

TEST(DecisionDigest, LowSaturationThreshold) {
    expectRecorded(
        {lowSaturationThreshold(), 0x0e6de144a884469cULL, {2835, 95, 114, 1, 431, 1324, 0, 1125, 20000}});
}

TEST(DecisionDigest, FrequentDrains) {
    expectRecorded({frequentDrains(), 0x72898b3a1775e4c1ULL, {2559, 93, 141, 13, 429, 898, 0, 2088, 20000}});
}

}  // namespace
}  // namespace ivyreel::test
