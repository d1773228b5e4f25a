// Serves one request: attempts until an endpoint accepts the request, then the relay.
#pragma once

#include <optional>

#include "admin/metrics.hpp"
#include "hot_restart/established_connection.hpp"
#include "io/scheduler.hpp"
#include "protocol/line.hpp"
#include "proxy/active_connections.hpp"
#include "proxy/client_responses.hpp"
#include "proxy/connection_pair.hpp"
#include "proxy/endpoint_connector.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

// The objects that all sessions of a node share.
struct SessionContext {
    Scheduler& scheduler;
    RequestTracker& tracker;
    EndpointConnector& connector;
    Metrics& metrics;
    ActiveConnections& active;
};

// Serves the client of one connection pair. The session and all its constructor arguments must outlive the
// tasks that its functions return.
class RequestSession {
  public:
    RequestSession(const SessionContext& context, ConnectionPair& connections, const OpeningLine& opening)
        : context_(context), connections_(connections), opening_(opening), responses_(context.metrics) {}

    // Serves a new request: makes the attempts that the decision module decides until an endpoint accepts the
    // request, which is then relayed, or until the request is rejected or fails.
    Task<void> serveNewRequest(RequestClassMetrics& classMetrics);
    // Reconnects the client to the endpoint that its opening line names as its current one (attribute `at`),
    // then relays the connection.
    Task<void> resume(RequestClassMetrics& classMetrics);
    // Relays an established connection until the connection ends or is handed over to a successor.
    Task<void> relay(TrackedRequest& trackedRequest, RelayState& state);
    // The attributes of the request in the opening line. The result refers to the opening line.
    RequestAttributes attributes() const;

  private:
    Task<std::optional<Decision>> awaitDecision(TrackedRequest& trackedRequest);
    Task<bool> waitBeforeRetry();
    Task<void> abandon(TrackedRequest& trackedRequest, RequestClassMetrics& classMetrics);

    const SessionContext& context_;
    ConnectionPair& connections_;
    const OpeningLine& opening_;
    ClientResponses responses_;
};

}  // namespace ivyreel
