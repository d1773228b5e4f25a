// One node: owns and connects its components, and handles signals, admin requests and hot restarts.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admin/admin_server.hpp"
#include "admin/metrics.hpp"
#include "config/node_config.hpp"
#include "health/health_checker.hpp"
#include "hot_restart/handover.hpp"
#include "hot_restart/handover_address.hpp"
#include "hot_restart/handover_state.hpp"
#include "hot_restart/predecessor_state.hpp"
#include "io/scheduler.hpp"
#include "io/socket.hpp"
#include "membership/membership_watcher.hpp"
#include "node/signal_receiver.hpp"
#include "proxy/endpoint_connector.hpp"
#include "proxy/proxy_server.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

class Node final : public TrackerEnvironment, public AdminDelegate, public HandoverDelegate {
  public:
    // Starts the tasks of the node. With a predecessor, the node inherits the predecessor's state and
    // listening sockets.
    Node(Config config, const HandoverAddress& handoverAddress, std::optional<PredecessorState> predecessor);
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;
    Node(Node&&) = delete;
    Node& operator=(Node&&) = delete;
    ~Node() override { scheduler_.destroyTasks(); }  // the tasks refer to the other members

    // Runs until a drain that SIGINT started has completed, or until a SIGINT arrives during a shutdown.
    void run();

    // TrackerEnvironment
    Time now() const override { return scheduler_.now(); }
    void startHealthCheck(EndpointId endpoint) override { healthChecker_.startHealthCheck(endpoint); }
    void startWatchingEndpointList() override { watcher_.start(); }
    void onWithholdingChanged(EndpointId endpoint, bool withheld) override;

    // AdminDelegate
    bool ready() const override { return ready_; }
    std::string metricsText() const override;
    bool setEndpointDisabled(std::string_view endpoint, bool disabled) override;

    // HandoverDelegate
    std::string handoverState() const override;
    std::vector<int> listeners() const override;
    std::size_t openDescriptorCount() const override;
    void onSuccessorServing(bool serves, const std::string& adminAddress) override;
    void onPredecessorDescriptorCount(std::size_t descriptors) override;
    void onLinkClosed(HandoverPeer peer) override;
    void onBanChanged(EndpointId endpoint, bool banned) override;
    void onPeerRequest(HandoverPeer peer, const RequestNotice& notice) override;
    void onReload() override;
    void adopt(const EstablishedConnection& connection) override { proxyServer_.adopt(connection); }

  private:
    static std::optional<HandoverState> parseState(const std::optional<PredecessorState>& predecessor);

    // Startup.
    void restoreState();
    void startAdminServer(std::optional<PredecessorState>& predecessor);
    void startServing();
    Task<void> awaitFirstListCall(Micros timeout);
    Task<void> serveAfterPushedList();
    Task<void> takeOver(int link, HandoverMessageReader reader);

    // Configuration.
    std::size_t clientDescriptorLimit() const;
    void applyDescriptorLimits();
    void applyDiscoverySettings();
    void reload();
    void apply(Config config);

    // Signals and shutdown.
    Task<void> processSignals();
    void handleSignal(int number);
    void requestShutdown(bool interrupted);
    Task<void> shutDown(bool exitWhenDrained);
    std::string countersText() const;

    Config config_;                                // the configuration in effect
    std::optional<HandoverState> inheritedState_;  // the predecessor's state; none once this node serves
    std::size_t predecessorDescriptors_ = 0;       // that the predecessor still has open
    Scheduler scheduler_;
    Metrics metrics_;
    RequestTracker tracker_;
    EndpointConnector connector_;
    HealthChecker healthChecker_;
    MembershipWatcher watcher_;
    ProxyServer proxyServer_;
    std::optional<AdminServer> adminServer_;
    Handover handover_;
    SignalReceiver signals_;
    bool ready_ = false;
    bool shuttingDown_ = false;
};

}  // namespace ivyreel
