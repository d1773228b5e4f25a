// Estimates the load of a connection, in microseconds of work per second: the mean of its request class, and
// the load of a typical connection of any class.
#pragma once

#include <cstddef>
#include <vector>

#include "decision/events.hpp"
#include "decision/learned_state.hpp"
#include "decision/types.hpp"

namespace ivyreel {

class ConnectionLoadEstimate {
  public:
    // Sets the number of request classes. The number never shrinks: a lower one is ignored.
    void setClassCount(std::size_t classes);

    // Returns the load hint of the request, else the mean of its class, else an initial default.
    double expected(const RequestArrived& request) const;
    // Returns the load of a typical connection of any class.
    double typical() const { return typical_; }

    // Records the expected load of an arriving request.
    void recordArrival(double load);
    // Records the measured load of a connection; ignored for an unknown class.
    void recordMeasurement(RequestClassIndex requestClass, double load);

    void store(LearnedFleetState& learned) const;
    // The learned state may have fewer classes: the caller calls setClassCount() again afterwards.
    void restore(const LearnedFleetState& learned);

  private:
    std::vector<double> meanByClass_;  // 0: no measurement yet
    double typical_ = LearnedFleetState{}.typicalLoad;
    double arrivals_ = 0.0;  // number of arrivals in the mean typical_
};

}  // namespace ivyreel
