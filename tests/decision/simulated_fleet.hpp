// The simulated endpoints of a seeded event sequence: their entries in the endpoint list, and the load that
// they report.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "decision/decision_engine.hpp"
#include "util/random.hpp"

namespace ivyreel::test {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMeanConnectionLoad = 40'000;  // microseconds of work a second
constexpr double kNaN = std::numeric_limits<double>::quiet_NaN();

inline Micros micros(double seconds) {
    return Micros{static_cast<Micros::rep>(seconds * kMicrosPerSecond)};
}

// The random numbers of one event sequence. All its generators draw from one source, and the digests of
// all decisions (generated_events.hpp) depend on the order in which they draw.
class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed) : random_(seed) {}

    double next() { return random_.next(); }
    bool chance(double share) { return random_.next() < share; }
    std::uint64_t below(std::uint64_t end) { return random_.bits() % end; }
    double between(double low, double high) { return low + (high - low) * random_.next(); }

  private:
    SplitMix64 random_;
};

struct SimulatedEndpoint {
    EndpointEntry entry;
    double loadOfOtherNodes = 0.0;  // load over capacity
    double loadOfThisNode = 0.0;    // microseconds of work a second
    double slowness = 1.0;          // work of a connection here, over its work at a typical endpoint
    double errorShare = 0.0;        // part of the attempts that end in an error
    Time unresponsiveUntil{0};
    int connectionsOfThisNode = 0;
};

struct SimulatedFleetSettings {
    std::uint32_t endpoints = 0;
    std::uint32_t nodes = 1;
    double targetLoad = 0.0;     // load over capacity
    double capacityUnits = 0.0;  // mean capacity of an endpoint, in cores
};

class SimulatedFleet {
  public:
    SimulatedFleet(const SimulatedFleetSettings& settings, RandomSource& random);

    // Returns null if no endpoint of the fleet has this id.
    SimulatedEndpoint* find(EndpointId id);
    // An endpoint selected at random.
    SimulatedEndpoint& randomEndpoint();
    std::vector<EndpointEntry> entries() const;

    // The endpoint's load report at present, or nothing if it sends none.
    std::optional<LoadReport> report(EndpointId id);

    // Add or remove a connection of this node at the endpoint. Ids that are not in the fleet are ignored.
    void addConnection(EndpointId id, double load);
    void removeConnection(EndpointId id, double load);

  private:
    void addEndpoint(const SimulatedFleetSettings& settings, std::uint64_t id);
    LoadReport randomReport(const SimulatedEndpoint& endpoint);

    RandomSource& random_;
    std::map<EndpointId, SimulatedEndpoint> endpoints_;
};

}  // namespace ivyreel::test
