// Affinity groups: requests whose work is less where they are at the same endpoint. Counts this node's
// connections of each group by endpoint, and how arrivals spread over groups.
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

    // Looks up a group's connections at endpoints which must come in the order of their ids.
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

    // On how many endpoints a group is to meet: what it fills by its part of the arrivals, with a margin.
    std::ptrdiff_t endpointsPerGroup(std::size_t endpointCount) const;

  private:
    MemberMap members_;
    std::map<GroupId, int> arrivalsByGroup_;
    double sameGroupPairs_ = 0.0;  // ordered pairs of arrivals
    double arrivals_ = 0.0;
};

}  // namespace ivyreel
