// All endpoints that the node knows, with their availability in the endpoint list and their operator bans. An
// endpoint is known if this node or its predecessor has listed it at any time, or if an operator has banned
// it.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "decision/events.hpp"

namespace ivyreel {

class EndpointDirectory {
  public:
    // Applies the availability of the entries. A full list marks the endpoints that it lacks as gone.
    void update(const EndpointListChanged& change);
    // Adds an endpoint that another node has listed; it counts as gone until it is listed here.
    void add(EndpointId endpoint) { endpoints_.try_emplace(endpoint); }
    void setBanned(EndpointId endpoint, bool banned) { endpoints_[endpoint].banned = banned; }

    bool contains(EndpointId endpoint) const { return endpoints_.contains(endpoint); }
    bool isBanned(EndpointId endpoint) const;
    // Whether the endpoint is ready in the list and not banned.
    bool isUsable(EndpointId endpoint) const;
    // The number of endpoints in the current list.
    std::size_t listedCount() const;
    std::vector<EndpointId> all() const;
    std::vector<EndpointId> banned() const;

  private:
    struct State {
        Availability availability = Availability::Gone;
        bool banned = false;
    };
    std::map<EndpointId, State> endpoints_;
};

}  // namespace ivyreel
