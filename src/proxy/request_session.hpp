// The life of one request: attempts until an endpoint has accepted it, then the relay.
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

// What all sessions of a node share.
struct SessionContext {
    Scheduler& scheduler;
    RequestTracker& tracker;
    EndpointConnector& connector;
    Metrics& metrics;
    ActiveConnections& active;
};

// Serves the client of one connection pair. All that it is given must outlive the tasks it returns, and it
// must itself.
class RequestSession {
  public:
    RequestSession(const SessionContext& context, ConnectionPair& connections, const OpeningLine& opening)
        : context_(context), connections_(connections), opening_(opening), responses_(context.metrics) {}

    // A new request: forwards it as the decision module says until an endpoint has accepted it, or it is
    // rejected or has failed.
    Task<void> serveNewRequest(RequestClassMetrics& classMetrics);
    // A connection that was established at an endpoint before this node started: connects to that endpoint
    // again.
    Task<void> resume(RequestClassMetrics& classMetrics);
    // Relays an established connection until it ends or is handed over to a successor.
    Task<void> relay(TrackedRequest& trackedRequest, RelayState& state);
    // What the opening line says of the request. Refers to it.
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
