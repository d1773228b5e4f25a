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

// Departure, overload relief: this node migrates its part of the excess load off an endpoint whose reported
// load exceeds the saturation threshold plus its tolerance. The load decreases to a target below the
// threshold as far as other endpoints have spare capacity, and at least to the threshold in any case. This
// prevents late messages on all connections of the endpoint until some of them end.
//
// Returns the load to migrate, or nothing if the endpoint is not overloaded, has no connections
// of this node, or was relieved so recently that its reports cannot show the effect yet.
std::optional<double> overloadRelief(const Endpoint& endpoint, const DecisionContext& context,
                                     const FleetSnapshot& fleet);

// The time from a migration until load reports show its effect.
Micros migrationPause(const Endpoint& endpoint, const Settings& settings);

// Departure, evacuation: half of this node's load per pass of the endpoint timer migrates off an unresponsive
// endpoint while another endpoint accepts connections. Load migrates off a draining endpoint in small steps,
// and only while the others have a multiple of the capacity that all draining endpoints need. This prevents
// connections from hanging on a broken link or breaking when an endpoint stops, and prevents all nodes from
// evacuating half a fleet at once.
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

// Returns connections of this node to the endpoint, in the order of their affinity groups. Their total load
// is `load` on average: the connection that would exceed `load` is included at random, in proportion to the
// remaining load.
std::vector<RequestId> connectionsToMigrate(const RequestTable& requests, EndpointId endpoint, double load,
                                            SplitMix64& random);

}  // namespace ivyreel
