// Decides how much load this node migrates off an endpoint that is overloaded, unresponsive or draining, and
// which connections it migrates. Loads are in microseconds of work per second.
#pragma once

#include <optional>
#include <vector>

#include "decision/decision_context.hpp"
#include "decision/endpoint.hpp"
#include "decision/fleet_snapshot.hpp"
#include "decision/request_table.hpp"
#include "decision/types.hpp"
#include "util/random.hpp"

namespace ivyreel {

// Departure, overload relief: this node migrates its part of the excess load off an endpoint that reports
// more load than it can carry, ordered by affinity group, as far as other endpoints have spare capacity; the
// part above the saturation threshold migrates in any case. This prevents late messages on all connections of
// the endpoint until some of them end. Returns nothing if the endpoint is not overloaded, has no connections
// of this node, or was relieved so recently that its reports cannot show the effect yet.
std::optional<double> overloadRelief(const Endpoint& endpoint, const DecisionContext& context,
                                     const FleetSnapshot& fleet);

// The time from a migration until load reports show its effect.
Micros migrationPause(const Endpoint& endpoint, const Settings& settings);

// Departure, evacuation: connections are migrated in small steps off an unresponsive endpoint while other
// endpoints can take them, and off a draining endpoint only while the others have a multiple of the capacity
// that all draining endpoints need. This prevents connections from hanging on a broken link or breaking when
// an endpoint stops, and prevents all nodes from evacuating half a fleet at once.
class Evacuation {
  public:
    Evacuation(const DecisionContext& context, const FleetSnapshot& fleet);

    // Returns the load to migrate off the endpoint in one pass of the endpoint timer, if any.
    std::optional<double> loadToMigrate(const Endpoint& endpoint) const;

  private:
    const DecisionContext& context_;
    bool canMigrate_;
    bool canDrain_;
};

// Returns connections of this node to the endpoint with this total load, ordered by affinity group. The last
// one is drawn at random, so that the load is right on average.
std::vector<RequestId> connectionsToMigrate(const RequestTable& requests, EndpointId endpoint, double load,
                                            SplitMix64& random);

}  // namespace ivyreel
