// Keeps the addresses of the endpoints and runs connection attempts.
#pragma once

#include <optional>
#include <unordered_map>

#include "admin/metrics.hpp"
#include "io/scheduler.hpp"
#include "io/socket.hpp"
#include "protocol/line.hpp"
#include "proxy/connection_attempt.hpp"
#include "proxy/connection_pair.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

class EndpointConnector {
  public:
    EndpointConnector(RequestTracker& tracker, Metrics& metrics) : tracker_(tracker), metrics_(metrics) {}

    void setAddress(EndpointId endpoint, const Address& address) { addresses_[endpoint] = address; }
    void removeAddress(EndpointId endpoint) { addresses_.erase(endpoint); }
    void removeAllAddresses() { addresses_.clear(); }
    std::optional<Address> addressOf(EndpointId endpoint) const;

    // Runs one attempt: sends the opening line to the target and waits for the answer. With
    // AttemptResult::Kind::Up, the answer is the first line in the buffer of the upstream connection; with
    // any other result, the upstream connection is closed.
    Task<AttemptResult> attempt(ConnectionPair& connections, const TrackedRequest& trackedRequest,
                                const OpeningLine& opening, AttemptTarget target,
                                RequestClassMetrics& classMetrics);

  private:
    struct HashEndpointId {
        std::size_t operator()(EndpointId endpoint) const { return static_cast<std::size_t>(endpoint); }
    };

    RequestTracker& tracker_;
    Metrics& metrics_;
    std::unordered_map<EndpointId, Address, HashEndpointId> addresses_;
};

}  // namespace ivyreel
