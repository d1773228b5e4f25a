// A seeded world of events around one decision engine, and a digest of all of the engine's decisions in it.
#pragma once

#include <cstdint>
#include <string>

#include "decision/decision_engine.hpp"

namespace ivyreel::test {

struct GeneratedCase {
    std::string name;
    std::uint64_t seed = 1;
    Settings settings;
    int events = 6'000;
    std::uint32_t endpoints = 12;
    double arrivalsPerSecond = 40.0;
    double targetLoad = 0.6;               // of the fleet, over its capacity
    double capacityUnits = 4.0;            // mean capacity of an endpoint, in cores
    double unansweredHealthChecks = 0.03;  // share of the health checks
    double lateMessages = 0.1;             // share of the measured delays that miss the objective
    double distinctGroups = 0.0;           // share of the requests that have a group of their own
    double secondsPerChange = 2.0;         // mean time between two changes of list, bans or settings
};

// How many of each the engine wanted, and how many events it got.
struct ActionCounts {
    int attempts = 0;
    int rejections = 0;
    int failures = 0;
    int cancellations = 0;
    int migrations = 0;
    int healthChecks = 0;
    int watches = 0;
    int timers = 0;
    int events = 0;
};

struct GeneratedResult {
    std::uint64_t digest = 0;
    ActionCounts counts;
};

GeneratedResult runGeneratedCase(const GeneratedCase& generated);

}  // namespace ivyreel::test
