// Detects endpoints that fail attempts or are slow, from the outcomes of attempts, load reports and set-up
// times.
//
// The results are stored in the endpoint: successRate (0 to 1), slowdown and setupSlowdown (both at least 1).
// The slowdown is the reported load over the load expected from the connections. The setupSlowdown is the
// set-up time over twice the typical set-up time. Both are smoothed, and damped for small loads and times.
#pragma once

#include <algorithm>
#include <cstdint>

#include "decision/endpoint.hpp"
#include "decision/learned_state.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Whether the outcome of an attempt counts as a failure of the endpoint. Attempts that were cancelled, not
// sent or rejected do not.
bool isEndpointFailure(Outcome outcome);
void recordSuccess(Endpoint& endpoint);
void recordFailure(Endpoint& endpoint);
// Raises the success rate after an answered health check; it recovers more slowly than by successful
// attempts.
void recordAnsweredHealthCheck(Endpoint& endpoint);

// The larger one of the slowdowns by load reports and by set-up times.
inline double slowdownOf(const Endpoint& endpoint) {
    return std::max(endpoint.slowdown, endpoint.setupSlowdown);
}

// Whether the slowdown is larger than random variation explains.
inline bool isSlow(const Endpoint& endpoint, bool groupAffinity) {
    constexpr double kSlowFrom = 1.3;  // reports of typical endpoints vary less
    // Where groups share work, the load of a connection depends on which group members are at the same
    // endpoint.
    constexpr double kSlowFromWithGroups = 3.0;
    return slowdownOf(endpoint) >= (groupAffinity ? kSlowFromWithGroups : kSlowFrom);
}

// Departure, slow endpoints: an endpoint whose reported load is far above the load that its connections cause
// at a typical endpoint has a slowdown, by which effectiveCapacity() divides if isSlow(): for the weight of
// the endpoint and for the utilisation that sent load adds. This prevents alternately overloading and
// relieving the endpoint.
//
// Updates the slowdown of the endpoint. Call this function when a load report of the endpoint has been
// applied. `capacityPerLoad` is the share of a typical endpoint's capacity that one unit of load takes;
// `warmUpShare` is the share of its own capacity that the endpoint has at present.
void learnSlowdown(Endpoint& endpoint, double capacityPerLoad, double warmUpShare, std::uint32_t nodes);

// Mean and typical connection set-up times over all endpoints.
class SetupTimeEstimate {
  public:
    // Mean set-up time of a connection to any endpoint, including round trips; microseconds.
    double meanMicros() const { return meanMicros_; }
    void recordConnection(Micros elapsed);

    // Departure, slow set-up: an endpoint's slowdown is also learned from its connection set-up times,
    // without the round trips. This prevents a slow endpoint without load, whose reports cannot show the
    // slowdown, from getting as many connections as the others.
    void learnSetupSlowdown(Endpoint& endpoint, Micros elapsed);

    void store(LearnedFleetState& learned) const;
    void restore(const LearnedFleetState& learned);

  private:
    double meanMicros_ = 0.0;
    double typicalMicros_ = 0.0;  // microseconds, without the round trips
};

}  // namespace ivyreel
