// The rate at which requests arrive at this node: an exponentially weighted average, in requests per second.
#pragma once

#include "decision/learned_state.hpp"
#include "decision/types.hpp"

namespace ivyreel {

class ArrivalRate {
  public:
    // Sets the time from which the rate decays.
    void start(Time now) { updatedAt_ = now; }
    void recordArrival(Time now);
    double perSecond(Time now) const;

    void store(LearnedFleetState& learned, Time now) const { learned.arrivalRate = perSecond(now); }
    void restore(const LearnedFleetState& learned, Time now);

  private:
    static constexpr double kInitialPerSecond = 1.0;  // assumed rate before the first arrivals

    double perSecond_ = kInitialPerSecond;  // requests per second, as of updatedAt_
    Time updatedAt_{0};
};

}  // namespace ivyreel
