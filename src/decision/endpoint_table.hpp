// All endpoints that this node knows, by id. Applies updates of the endpoint list and bans by operators, and
// tells which endpoints may get new connections.
//
// Invariants: the endpoints are ordered by id; an endpoint that was removed from the list stays in the table
// while this node has connections or attempts there.
#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "decision/endpoint.hpp"
#include "decision/events.hpp"
#include "decision/settings.hpp"

namespace ivyreel {

class EndpointTable {
  public:
    // Applies an update of any kind but Failed. `nodeStartedAt` is the start of this node: slow-start slots
    // from before this time count as used.
    void apply(const EndpointListChanged& list, WeightKind weightKind, Time now, Time nodeStartedAt);

    const Endpoint* find(EndpointId id) const;
    Endpoint* find(EndpointId id);
    // Adds an unlisted endpoint if the id is unknown; this invalidates references to other endpoints.
    Endpoint& findOrAdd(EndpointId id);

    // Departure, bans by operators: a banned endpoint is excluded from every selection until the ban is
    // lifted, whatever the endpoint list says. This prevents new connections to an endpoint under
    // maintenance. Its open connections are not migrated: many end before the endpoint stops, and migrating
    // all of them at once would overload a fleet that has just lost an endpoint.
    void setBanned(EndpointId id, bool banned);

    // Whether the endpoint is listed as ready and not banned.
    bool isReady(const Endpoint& endpoint) const {
        return endpoint.listed && endpoint.entry.availability == Availability::Ready && !isBanned(endpoint);
    }
    // Whether the endpoint is ready and healthy.
    bool isUsable(const Endpoint& endpoint) const { return isReady(endpoint) && !isUnhealthy(endpoint); }
    // The number of listed endpoints that are banned or unhealthy.
    std::size_t excludedCount() const;

    // The mean listed capacity of all endpoints in the table, in cores. Negative and NaN values count as 0.
    // Returns 0 if the settings say that the list states no sizes (WeightKind::None and Live).
    double meanListedSize() const { return meanListedSize_; }
    // The endpoint's listed size over the mean; 1 if the list states no valid size.
    double relativeSize(const Endpoint& endpoint) const {
        return meanListedSize_ > 0.0 && endpoint.entry.listedCapacity > 0.0
                   ? endpoint.entry.listedCapacity / meanListedSize_
                   : 1.0;
    }

    // Removes the recent sends from before this time.
    void removeSendsBefore(Time time);

    std::size_t size() const { return endpoints_.size(); }
    auto begin() { return endpoints_.begin(); }
    auto end() { return endpoints_.end(); }
    auto begin() const { return endpoints_.begin(); }
    auto end() const { return endpoints_.end(); }

  private:
    bool isBanned(const Endpoint& endpoint) const { return banned_.contains(endpoint.entry.id); }
    void update(const EndpointEntry& entry, Time now, Time nodeStartedAt);

    std::vector<Endpoint> endpoints_;
    std::set<EndpointId> banned_;
    double meanListedSize_ = 0.0;
};

}  // namespace ivyreel
