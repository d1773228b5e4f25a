// Parameters of a pseudo-random event sequence for one decision engine, and the digest of all decisions.
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
    double targetLoad = 0.6;               // load of the fleet over its capacity
    double capacityUnits = 4.0;            // mean capacity of an endpoint, in cores
    double unansweredHealthChecks = 0.03;  // share of the health checks
    double lateMessages = 0.1;             // share of the measured delays that miss the objective
    double distinctGroups = 0.0;           // share of the requests with an affinity group of their own
    double secondsPerChange = 2.0;  // mean time between two changes of the endpoint list, bans or settings
};

// Numbers of actions of the engine by type, and of the events that it handled.
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

// Runs the engine through the generated events.
GeneratedResult runGeneratedCase(const GeneratedCase& generated);

}  // namespace ivyreel::test
