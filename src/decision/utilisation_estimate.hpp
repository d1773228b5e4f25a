// Estimates the present utilisation of an endpoint, in per cent, from its last report, the load that this
// node has sent there since, an estimate of what the other nodes have sent, and the load of clients that have
// moved from other nodes to this one.
#pragma once

#include "decision/decision_context.hpp"
#include "decision/endpoint.hpp"
#include "decision/fleet_snapshot.hpp"

namespace ivyreel {

// Holds references to the context and the snapshot, which must outlive it. `capacity` is the endpoint's
// effective capacity, as a factor of that of a typical endpoint of its size.
class UtilisationEstimate {
  public:
    UtilisationEstimate(const DecisionContext& context, const FleetSnapshot& fleet)
        : context_(context), fleet_(fleet) {}

    // The utilisation in the last report; the mean of the fleet if that report is not fresh.
    double reported(const Endpoint& endpoint) const {
        return hasFreshReport(endpoint, context_.now) ? endpoint.utilisation : fleet_.meanUtilisation;
    }
    // The reported utilisation, plus the load that this node and the other nodes sent since that report,
    // minus the load of clients that came from other nodes, which reports still include.
    double current(const Endpoint& endpoint, double capacity) const;
    // The utilisation that this load would add, in per cent.
    double added(const Endpoint& endpoint, double load, double capacity) const {
        const double size = context_.endpoints.relativeSize(endpoint);
        return kFullUtilisation * load * fleet_.capacityPerLoad / (size * capacity);
    }

  private:
    double sentByOtherNodes(const Endpoint& endpoint, double capacity) const;

    const DecisionContext& context_;
    const FleetSnapshot& fleet_;
};

}  // namespace ivyreel
