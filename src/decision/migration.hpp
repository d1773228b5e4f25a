// Decides how much load this node migrates off an endpoint, because it is overloaded, silent or draining, and
// which connections that are. Loads are microseconds of work a second.
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

// Departure, overload relief: an endpoint that reports more load than it can carry serves nobody well. This
// node migrates its part of the excess, in the order of the groups, as far as the others have spare capacity.
// Prevents that the messages of all its connections stay late until some end by themselves. None where there
// is nothing to relieve, or the last relief cannot show in the reports yet.
std::optional<double> overloadRelief(const Endpoint& endpoint, const DecisionContext& context,
                                     const FleetSnapshot& fleet);

// After a relief, until it shows in reports.
Micros migrationPause(const Endpoint& endpoint, const Settings& settings);

// Departure, evacuation: connections on an endpoint from which nothing comes back are migrated in small steps
// while others can take them; off one that drains only while the others have ample capacity for all that
// drains. Prevents that they hang on a broken link or break when an endpoint stops, and that all nodes empty
// half a fleet at once.
class Evacuation {
  public:
    Evacuation(const DecisionContext& context, const FleetSnapshot& fleet);

    // The load to migrate off this endpoint in one pass of the endpoint timer, if any.
    std::optional<double> loadToMigrate(const Endpoint& endpoint) const;

  private:
    const DecisionContext& context_;
    bool canMigrate_;
    bool canDrain_;
};

// This node's connections at the endpoint that make up the load, in the order of their groups.
std::vector<RequestId> connectionsToMigrate(const RequestTable& requests, EndpointId endpoint, double load,
                                            SplitMix64& random);

}  // namespace ivyreel
