// The downstream side of the proxy: accepts connections, reads their opening lines and runs their sessions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "admin/metrics.hpp"
#include "health/health_checker.hpp"
#include "hot_restart/handover_peer.hpp"
#include "io/scheduler.hpp"
#include "io/socket.hpp"
#include "proxy/active_connections.hpp"
#include "proxy/client_responses.hpp"
#include "proxy/connection_acceptor.hpp"
#include "proxy/descriptor_budget.hpp"
#include "proxy/endpoint_connector.hpp"
#include "proxy/graceful_shutdown.hpp"
#include "proxy/opening_reader.hpp"
#include "proxy/peer_request_ids.hpp"
#include "proxy/recent_request_ids.hpp"
#include "proxy/request_session.hpp"
#include "proxy/unopened_connections.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

class ProxyServer {
  public:
    // `inheritedListener` is a descriptor that already listens at `listen`, or -1 to create one;
    // `descriptorLimit` is the maximum number of descriptors that the node may have open. Throws
    // std::system_error.
    ProxyServer(Scheduler& scheduler, RequestTracker& tracker, EndpointConnector& connector,
                HealthChecker& healthChecker, Metrics& metrics, const Address& listen, int inheritedListener,
                std::size_t descriptorLimit);

    Address address() const { return acceptor_.address(); }
    // The descriptor of the listening socket.
    int listener() const { return acceptor_.descriptor(); }

    // Accepts connections until the scheduler drops this task.
    Task<void> accept() { return acceptor_.run(); }
    // Starts or stops accepting. While the server does not accept, new connections wait in the listen queue.
    void setAccepting(bool accepting) { acceptor_.setAccepting(accepting); }
    // Enables the answers to health checks, unless the node is shutting down.
    void startAnsweringHealthChecks() { openingReader_.setAnsweringHealthChecks(!shuttingDown_); }
    // Changes the maximum number of descriptors that the node may have open.
    void setDescriptorLimit(std::size_t limit) { descriptors_.setLimit(limit); }

    // The ids of the requests that are open or have ended recently.
    std::vector<std::uint64_t> requestIds() const { return recentRequestIds_.all(); }
    // The ids of a peer's requests. Connections with these ids are rejected.
    PeerRequestIds& peerRequestIds(HandoverPeer peer) {
        return peer == HandoverPeer::Predecessor ? predecessorRequestIds_ : successorRequestIds_;
    }
    // `observer` is called when a request of this node opens and when it has ended.
    void setRequestObserver(RecentRequestIds::Observer observer) {
        recentRequestIds_.setObserver(std::move(observer));
    }
    // The number of open requests.
    std::size_t openRequestCount() const { return recentRequestIds_.openCount(); }

    // Starts a graceful shutdown and returns its task, which runs until the scheduler drops it. `drained` is
    // called once (see GracefulShutdown::run).
    Task<void> drain(Successor& successor, std::function<void()> drained);
    // Takes over an established connection of the predecessor, with its descriptors.
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
    PeerRequestIds predecessorRequestIds_;
    PeerRequestIds successorRequestIds_;
    UnopenedConnections unopened_;
    DescriptorBudget descriptors_;
    OpeningReader openingReader_;
    ConnectionAcceptor acceptor_;
    GracefulShutdown shutdown_;
    bool shuttingDown_ = false;
};

}  // namespace ivyreel
