#include "decision/admission_control.hpp"

#include <algorithm>
#include <cmath>

#include "decision/endpoint.hpp"
#include "decision/retry_policy.hpp"

namespace ivyreel {
namespace {

constexpr double kBusyMargin = 0.1;       // load over capacity, below the saturation threshold
constexpr double kQuotaDeviations = 2.0;  // standard deviations: one count in forty exceeds them by chance

}  // namespace

bool isFleetBusy(const FleetSnapshot& fleet, const SaturationThreshold& threshold) {
    return fleet.meanUtilisation >= kFullUtilisation * (threshold.value() - kBusyMargin);
}

void AdmissionControl::setTenantCount(std::size_t tenants) {
    connections_.resize(std::max(connections_.size(), tenants), 0);
}

void AdmissionControl::changeConnections(TenantIndex tenant, int change) {
    const auto index = static_cast<std::size_t>(tenant);
    if (index < connections_.size()) connections_[index] += change;
}

bool AdmissionControl::shouldShed(const Request& request, const Settings& settings, bool fleetBusy) const {
    if (!fleetBusy || settings.overQuotaPriorityWeight >= 1.0) return false;
    const auto tenant = static_cast<std::size_t>(request.arrival.tenant);
    if (tenant >= connections_.size() || settings.tenants[tenant].quotaConnections <= 0) return false;
    const double quotaOfThisNode = settings.tenants[tenant].quotaConnections / settings.nodes;
    const double limit = quotaOfThisNode + kQuotaDeviations * std::sqrt(quotaOfThisNode);
    return connections_[tenant] > limit && mayReject(request);
}

}  // namespace ivyreel
