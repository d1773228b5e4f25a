// How many connections an endpoint of each kind carries at full capacity, learned from load reports.
#pragma once

#include <map>

#include "decision/endpoint.hpp"
#include "decision/types.hpp"

namespace ivyreel {

class KindCapacityEstimate {
  public:
    // The report of an endpoint that is neither slow nor warming up; its size is relative to the mean.
    void recordReport(const Endpoint& endpoint, double relativeSize);

    // Of an endpoint of this size and kind. Of a kind that is little known: as many as the least of the
    // others, and no more than `guess`.
    double connectionsAtCapacity(KindIndex kind, double relativeSize, double defaultConnections) const;

  private:
    struct Sums {
        double connections = 0.0;
        double load = 0.0;  // over capacity, times the relative size
    };
    std::map<KindIndex, Sums> sums_;
};

}  // namespace ivyreel
