// Decides whether a busy fleet admits a request, by the quota of its tenant.
#pragma once

#include <cstddef>
#include <vector>

#include "decision/fleet_snapshot.hpp"
#include "decision/request.hpp"
#include "decision/saturation_threshold.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// Whether the mean utilisation of the fleet is near or above the saturation threshold.
bool isFleetBusy(const FleetSnapshot& fleet, const SaturationThreshold& threshold);

class AdmissionControl {
  public:
    // Sets the number of tenants. Existing counts are kept, and a lower number than before has no effect:
    // the settings passed to shouldShed must contain at least the highest number of tenants set so far.
    void setTenantCount(std::size_t tenants);
    void changeConnections(TenantIndex tenant, int change);

    // Departure, load shedding by quota: on a busy fleet the requests of tenants that are over their quota
    // are shed. This prevents requests of low priority weight from delaying the messages of other tenants. A
    // request is shed only if it may be rejected, overQuotaPriorityWeight is below 1, and the tenant's
    // connections at this node exceed this node's part of the quota (quota / nodes) by more than two standard
    // deviations.
    bool shouldShed(const Request& request, const Settings& settings, bool fleetBusy) const;

  private:
    std::vector<int> connections_;  // connections at this node, by tenant
};

}  // namespace ivyreel
