// Hot restart: a running node (the predecessor) hands over its state, its listening sockets and its
// established connections to the process that replaces it (the successor), through a Unix socket.
//
// The successor sends a HandoverRequest (predecessor_state.hpp); the predecessor answers with its state and
// its listening sockets. Both keep the link open and exchange messages (handover_messages.hpp): bans,
// reloads, ids of requests, counts of open descriptors, connection transfers, and the notice that the
// successor serves clients. docs/daily-service.md lists the order of events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decision/decision_engine.hpp"
#include "hot_restart/established_connection.hpp"
#include "hot_restart/handover_address.hpp"
#include "hot_restart/handover_link.hpp"
#include "hot_restart/handover_message_reader.hpp"
#include "hot_restart/handover_messages.hpp"
#include "hot_restart/handover_peer.hpp"
#include "io/scheduler.hpp"

namespace ivyreel {

// The node's part of a handover: it provides the state and handles the notices of the other node.
class HandoverDelegate {
  public:
    HandoverDelegate() = default;
    HandoverDelegate(const HandoverDelegate&) = delete;
    HandoverDelegate& operator=(const HandoverDelegate&) = delete;
    HandoverDelegate(HandoverDelegate&&) = delete;
    HandoverDelegate& operator=(HandoverDelegate&&) = delete;
    virtual ~HandoverDelegate() = default;

    // The node's state as one line (HandoverState::text).
    virtual std::string handoverState() const = 0;
    // The listening sockets, at most kMaxDescriptorsPerMessage. The node keeps the ownership.
    virtual std::vector<int> listeners() const = 0;
    // The number of descriptors that this process has open.
    virtual std::size_t openDescriptorCount() const = 0;
    // True: the successor, whose admin server is at `adminAddress`, serves clients. False: the successor has
    // exited, and this node resumes serving.
    virtual void onSuccessorServing(bool serves, const std::string& adminAddress) = 0;
    // The predecessor has this many descriptors open.
    virtual void onPredecessorDescriptorCount(std::size_t descriptors) = 0;
    // The link to the peer is closed: the peer has exited.
    virtual void onLinkClosed(HandoverPeer peer) = 0;
    // An operator has banned an endpoint at the other node, or lifted its ban there.
    virtual void onBanChanged(EndpointId endpoint, bool banned) = 0;
    // A request of the peer has opened or ended.
    virtual void onPeerRequest(HandoverPeer peer, const RequestNotice& notice) = 0;
    // The other node has received the signal to reload the configuration.
    virtual void onReload() = 0;
    // Takes over an established connection of the predecessor, with its descriptors.
    virtual void adopt(const EstablishedConnection& connection) = 0;
};

// Implements both roles of a hot restart: the predecessor of any process that requests a handover, and the
// successor of the node that ran before.
class Handover final : public Successor {
  public:
    Handover(Scheduler& scheduler, HandoverDelegate& delegate, HandoverAddress address);
    Handover(const Handover&) = delete;
    Handover& operator=(const Handover&) = delete;
    Handover(Handover&&) = delete;
    Handover& operator=(Handover&&) = delete;
    ~Handover() override { stopListening(); }

    // Opens the socket to which a successor connects. Returns false if hot restart is disabled or the socket
    // cannot be opened.
    bool open();
    // Accepts and serves successors for as long as the node runs.
    Task<void> listen();
    // Exchanges messages with the predecessor until it exits. Takes the ownership of `descriptor`, the link
    // to the predecessor; `reader` has the input of the link that follows the state.
    Task<void> exchangeWithPredecessor(int descriptor, HandoverMessageReader reader);
    // Notifies the predecessor that this node serves clients from now on.
    void notifyServing();
    // Notifies the other nodes that an operator has banned an endpoint here, or lifted its ban.
    void notifyBan(EndpointId endpoint, bool banned);
    // Notifies the other nodes that this node has opened a request with this id, or that its last request
    // with this id has ended.
    void notifyRequest(std::uint64_t id, bool open);
    // Notifies the other nodes that they are to reload the configuration.
    void notifyReload();

    bool isServing() const override;
    void transferConnection(const EstablishedConnection& connection) override;

  private:
    struct Session;

    void acceptSuccessors();
    void stopListening();

    Task<void> serveSuccessor(int descriptor);
    Task<std::optional<std::string>> receiveRequest(HandoverLink& link);
    bool isAcceptable(const HandoverRequest& request) const;
    void sendState(Session& session);
    void resumeServing(const Session& session);

    Task<void> exchangeMessages(Session& session);
    void reportDescriptors(Session& session);
    void broadcast(const std::string& line, const Session* except = nullptr);
    Session* servingSuccessor() const;

    void handle(Session& session, const std::string& line);
    void handle(Session& session, const ServingNotice& notice);
    void handle(Session& session, const DescriptorCount& count);
    void handle(Session& session, const BanNotice& notice);
    void handle(Session& session, const RequestNotice& notice);
    void handle(Session& session, const ReloadNotice& notice);
    void handle(Session& session, const ConnectionTransfer& transfer);

    Scheduler& scheduler_;
    HandoverDelegate& delegate_;
    Signal signal_;
    HandoverListener listener_;
    bool stateHandedOver_ = false;  // to a successor whose link is open
    bool serving_ = false;          // notifyServing() was called; the predecessor is notified
    std::list<Session*> sessions_;
};

}  // namespace ivyreel
