// The proxy's downstream side: accepts connections, reads their opening lines and runs their sessions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "admin/metrics.hpp"
#include "health/health_checker.hpp"
#include "io/scheduler.hpp"
#include "io/socket.hpp"
#include "proxy/active_connections.hpp"
#include "proxy/client_responses.hpp"
#include "proxy/connection_acceptor.hpp"
#include "proxy/descriptor_budget.hpp"
#include "proxy/endpoint_connector.hpp"
#include "proxy/graceful_shutdown.hpp"
#include "proxy/opening_reader.hpp"
#include "proxy/recent_request_ids.hpp"
#include "proxy/request_session.hpp"
#include "proxy/unopened_connections.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

class ProxyServer {
  public:
    // `inheritedListener` is a descriptor that already listens at `listen`, or -1; `descriptorLimit` is how
    // many descriptors the node may have open in all. Throws std::system_error.
    ProxyServer(Scheduler& scheduler, RequestTracker& tracker, EndpointConnector& connector,
                HealthChecker& healthChecker, Metrics& metrics, const Address& listen, int inheritedListener,
                std::size_t descriptorLimit);

    Address address() const { return acceptor_.address(); }
    // The descriptor that listens.
    int listener() const { return acceptor_.descriptor(); }

    // Accepts connections for as long as the node runs.
    Task<void> accept() { return acceptor_.run(); }
    // Whether connections are accepted; otherwise they stay in the listen queue.
    void setAccepting(bool accepting) { acceptor_.setAccepting(accepting); }
    // From now on health checks are answered, unless the node is shutting down.
    void startServing() { openingReader_.setServing(!shuttingDown_); }
    // How many descriptors the node may have open in all from now on.
    void setDescriptorLimit(std::size_t limit) { descriptors_.setLimit(limit); }

    // The ids of the requests that are open or ended recently.
    std::vector<std::uint64_t> requestIds() const { return recentRequestIds_.all(); }
    // Adds those of another node.
    void importRequestIds(const std::vector<std::uint64_t>& ids) {
        recentRequestIds_.addEnded(ids, scheduler_.now());
    }
    // How many requests are open.
    std::size_t openRequestCount() const { return recentRequestIds_.openCount(); }

    // Begins a graceful shutdown, which goes on for as long as the node runs; `drained` is called when no
    // request is open any more.
    Task<void> drain(Successor& successor, std::function<void()> drained);
    // Takes over a connection that another node has established.
    void adopt(const EstablishedConnection& connection);

  private:
    void startSession(int descriptor);
    Task<void> serve(std::unique_ptr<ConnectionPair> owned);
    Task<void> serveAdopted(std::unique_ptr<ConnectionPair> owned, EstablishedConnection connection);

    Scheduler& scheduler_;
    RequestTracker& tracker_;
    Metrics& metrics_;
    ActiveConnections active_;
    SessionContext sessionContext_;
    ClientResponses responses_;
    RecentRequestIds recentRequestIds_;
    UnopenedConnections unopened_;
    DescriptorBudget descriptors_;
    OpeningReader openingReader_;
    ConnectionAcceptor acceptor_;
    GracefulShutdown shutdown_;
    bool shuttingDown_ = false;
};

}  // namespace ivyreel
