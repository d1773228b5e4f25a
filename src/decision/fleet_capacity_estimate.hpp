// The capacity of a typical endpoint, in microseconds of work a second, learned from what the endpoints
// report and what this node has there.
#pragma once

#include "decision/learned_state.hpp"
#include "decision/types.hpp"

namespace ivyreel {

inline constexpr double kMinCapacity = 2e6;  // microseconds of work a second: two cores, the least endpoint
// Where nothing tells the size: the geometric mean of the least and the largest.
inline constexpr double kDefaultCapacity = 11e6;

// What the endpoints with fresh reports show together.
struct FleetLoadSample {
    double work = 0.0;              // of all nodes' connections, microseconds of work a second
    double loadOverCapacity = 0.0;  // sum of the reports
    int ownConnections = 0;
};

class FleetCapacityEstimate {
  public:
    // The sample held for `spanSeconds`.
    void add(const FleetLoadSample& sample, double spanSeconds);

    // Departure, a steady capacity: what a typical endpoint carries is pooled over a minute, and until much
    // was seen it is the mean listed size, in cores, or `guess` where that is 0. Prevents that a node goes by
    // a moment in which it has little load: others restart, itself has, or of hundreds it holds a connection
    // or two.
    double typicalCapacity(double defaultCapacity, double meanListedSize) const;

    void store(LearnedFleetState& learned) const;
    void restore(const LearnedFleetState& learned);

  private:
    // Sums that age over a minute, each times seconds.
    double workSeconds_ = 0.0;
    double loadSeconds_ = 0.0;
    double connectionSeconds_ = 0.0;
};

}  // namespace ivyreel
