// Estimates how many connections an endpoint of each kind carries at full capacity, from load reports.
#pragma once

#include <map>

#include "decision/endpoint.hpp"
#include "decision/types.hpp"

namespace ivyreel {

class KindCapacityEstimate {
  public:
    // Records the last report of an endpoint that is neither slow nor warming up. `relativeSize` is the
    // endpoint's size over the mean size.
    void recordReport(const Endpoint& endpoint, double relativeSize);

    // Returns the number of connections for an endpoint of this kind and size. Where the kind has few
    // reports, the result is close to the minimum of `defaultConnections` and the values of the other kinds.
    double connectionsAtCapacity(KindIndex kind, double relativeSize, double defaultConnections) const;

  private:
    struct Sums {
        double connections = 0.0;
        double load = 0.0;  // load over capacity, times the relative size
    };
    std::map<KindIndex, Sums> sums_;
};

}  // namespace ivyreel
