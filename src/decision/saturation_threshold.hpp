// The load over capacity at which the messages of an endpoint begin to be late, learned from message delays.
#pragma once

#include "decision/endpoint.hpp"
#include "decision/learned_state.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

class SaturationThreshold {
  public:
    explicit SaturationThreshold(const Settings& settings);

    double value() const { return value_; }
    // The load over capacity up to which this node, on a busy fleet, sends members of an affinity group to an
    // endpoint that has members already. Above it, connections are migrated, with or without a group.
    double withTolerance() const { return value_ + kTolerance; }

    // Departure, the learned threshold: the load over capacity at which messages begin to be late differs
    // between fleets (bursts, objectives). Each report of a load near the threshold adjusts the threshold:
    // late messages lower it, and a report without late messages raises it by a smaller step. This prevents
    // endpoints from being filled until they serve no client in time, and from being left idle to avoid that.
    // Precondition: endpoint.load is the load of a report that has just arrived.
    void learn(const Endpoint& endpoint, Time now);

    // Moves the threshold by the difference between the initial values of both settings, so that the learned
    // distance from the initial value is kept.
    void changeSettings(const Settings& before, const Settings& after);

    void store(LearnedFleetState& learned) const { learned.saturationThreshold = value_; }
    void restore(const LearnedFleetState& learned) { value_ = learned.saturationThreshold; }

  private:
    static constexpr double kTolerance = 0.1;  // load over capacity

    static double initial(const Settings& settings);

    double value_;
};

// The unused utilisation of an endpoint, in per cent, or 0 if its utilisation is at or above the saturation
// threshold.
inline double spareUtilisation(double utilisation, const SaturationThreshold& threshold) {
    return utilisation >= kFullUtilisation * threshold.value() ? 0.0 : kFullUtilisation - utilisation;
}

}  // namespace ivyreel
