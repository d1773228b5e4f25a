// Estimates the capacity of a typical endpoint, in microseconds of work per second, from the endpoints' load
// reports and this node's connections to them.
#pragma once

#include "decision/learned_state.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Microseconds of work per second: two cores, the smallest endpoint.
inline constexpr double kMinCapacity = 2e6;
// Microseconds of work per second, used where no size is listed: the geometric mean of the smallest and the
// largest endpoint.
inline constexpr double kDefaultCapacity = 11e6;

// Sums over the endpoints with fresh reports.
struct FleetLoadSample {
    double work = 0.0;              // of all nodes' connections, microseconds of work per second
    double loadOverCapacity = 0.0;  // sum of the reported values
    int connectionsFromThisNode = 0;
};

class FleetCapacityEstimate {
  public:
    // Adds a sample that was valid for `spanSeconds`.
    void add(const FleetLoadSample& sample, double spanSeconds);

    // Departure, a steady capacity: the estimate is the work over the load of the samples, averaged over a
    // minute. While the samples cover few connections, the result is close to the mean listed size, in cores,
    // or to `defaultCapacity` where that mean is 0. This prevents a wrong estimate while the node has little
    // load: after a restart of other nodes or its own, or where an endpoint has hundreds of connections and
    // only one or two of them come from this node.
    double typicalCapacity(double defaultCapacity, double meanListedSize) const;

    void store(LearnedFleetState& learned) const;
    void restore(const LearnedFleetState& learned);

  private:
    // Sums of value times seconds, decaying exponentially with a time constant of a minute.
    double workSeconds_ = 0.0;
    double loadSeconds_ = 0.0;
    double connectionSeconds_ = 0.0;
};

}  // namespace ivyreel
