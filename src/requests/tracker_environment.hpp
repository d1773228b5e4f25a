// The interface through which the request tracker uses the rest of the node.
#pragma once

#include "decision/types.hpp"

namespace ivyreel {

// An implementation must not call the tracker from within any of these functions.
class TrackerEnvironment {
  public:
    TrackerEnvironment() = default;
    TrackerEnvironment(const TrackerEnvironment&) = delete;
    TrackerEnvironment& operator=(const TrackerEnvironment&) = delete;
    TrackerEnvironment(TrackerEnvironment&&) = delete;
    TrackerEnvironment& operator=(TrackerEnvironment&&) = delete;
    virtual ~TrackerEnvironment() = default;
    // Unix time; never decreases.
    virtual Time now() const = 0;
    virtual void startHealthCheck(EndpointId endpoint) = 0;
    // Asks for a watch on the endpoint list. MembershipWatcher schedules its retries itself, so that only the
    // first call has an effect in a node.
    virtual void startWatchingEndpointList() = 0;
    // Called when the tracker starts or stops withholding an endpoint from new connections because of drain
    // evidence (see membership/drain_evidence.hpp).
    virtual void onWithholdingChanged(EndpointId /*endpoint*/, bool /*withheld*/) {}
};

}  // namespace ivyreel
