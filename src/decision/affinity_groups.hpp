// Affinity groups: the requests of a group need less work if the same endpoint serves them. Counts this
// node's connections of each group by endpoint, and how the arrivals are distributed over the groups.
#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "decision/types.hpp"

namespace ivyreel {

class AffinityGroups {
    using ConnectionCounts = std::map<std::pair<GroupId, EndpointId>, int>;

  public:
    void recordArrival(GroupId group);
    void changeConnections(GroupId group, EndpointId endpoint, int change);

    // Looks up the number of a group's connections at successive endpoints. Calls must pass the endpoints in
    // the order of their ids.
    class ConnectionCountCursor {
      public:
        int countAt(EndpointId endpoint);

      private:
        friend class AffinityGroups;
        ConnectionCountCursor(const ConnectionCounts& counts, GroupId group)
            : connectionCounts_(&counts),
              group_(group),
              position_(counts.lower_bound({group, EndpointId{0}})) {}

        const ConnectionCounts* connectionCounts_;
        GroupId group_;
        ConnectionCounts::const_iterator position_;
    };
    ConnectionCountCursor connectionCountsOf(GroupId group) const { return {connectionCounts_, group}; }

    // The number of endpoints that each group is to use, the same for all groups: endpointCount times the
    // probability that two arrivals at this node belong to the same group, times a margin, but no fewer than
    // a minimum. The result may exceed `endpointCount`.
    std::ptrdiff_t endpointsPerGroup(std::size_t endpointCount) const;

  private:
    ConnectionCounts connectionCounts_;
    std::map<GroupId, int> arrivalsByGroup_;
    double sameGroupPairs_ = 0.0;  // ordered pairs of arrivals of the same group
    double arrivals_ = 0.0;
};

}  // namespace ivyreel
