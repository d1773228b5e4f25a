// Affinity groups: the requests of a group need less work if the same endpoint serves them. Counts this
// node's connections of each group by endpoint, and how the arrivals are distributed over the groups.
#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "decision/types.hpp"

namespace ivyreel {

class AffinityGroups {
    using MemberMap = std::map<std::pair<GroupId, EndpointId>, int>;

  public:
    void recordArrival(GroupId group);
    void changeConnections(GroupId group, EndpointId endpoint, int change);

    // Looks up the number of a group's connections at successive endpoints. Calls must pass the endpoints in
    // the order of their ids.
    class MemberCursor {
      public:
        int countAt(EndpointId endpoint);

      private:
        friend class AffinityGroups;
        MemberCursor(const MemberMap& members, GroupId group)
            : members_(&members), group_(group), position_(members.lower_bound({group, EndpointId{0}})) {}

        const MemberMap* members_;
        GroupId group_;
        MemberMap::const_iterator position_;
    };
    MemberCursor membersOf(GroupId group) const { return {members_, group}; }

    // The number of endpoints that a group is to use: as many as it fills by its share of the arrivals, times
    // a margin, but no fewer than a minimum. The result may exceed `endpointCount`.
    std::ptrdiff_t endpointsPerGroup(std::size_t endpointCount) const;

  private:
    MemberMap members_;
    std::map<GroupId, int> arrivalsByGroup_;
    double sameGroupPairs_ = 0.0;  // ordered pairs of arrivals of the same group
    double arrivals_ = 0.0;
};

}  // namespace ivyreel
