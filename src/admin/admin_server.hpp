// Serves the calls of operators over HTTP/1.1, one call to a connection.
#pragma once

#include <cstddef>
#include <list>
#include <memory>

#include "admin/admin_api.hpp"
#include "io/scheduler.hpp"
#include "io/socket.hpp"

namespace ivyreel {

// At most kMaxSessions connections are served at a time. When one more comes, the oldest is evicted, so that
// callers which never finish cannot block others.
class AdminServer {
  public:
    static constexpr std::size_t kMaxSessions = 16;
    // Sessions and the listener.
    static constexpr std::size_t kMaxDescriptors = kMaxSessions + 1;

    // `inheritedListener`: a descriptor that listens at the address already; -1: none.
    AdminServer(Scheduler& scheduler, AdminDelegate& node, const Address& listen, int inheritedListener = -1);

    Address address() const { return listener_.local(); }
    int listener() const { return listener_.descriptor(); }
    // While the server does not accept, calls wait in the queue of the listener.
    void setAccepting(bool accepting);
    // Runs as long as the node.
    Task<void> accept();

  private:
    struct Session;

    // Starts sessions until nothing waits or one has to be evicted; returns when to try again at the latest.
    Time acceptPending();
    void startSession(int descriptor);
    void evictOldestSession();
    Task<void> serve(std::unique_ptr<Session> owned);

    Scheduler& scheduler_;
    AdminDelegate& node_;
    Signal signal_;
    Socket listener_;
    bool accepting_ = true;
    std::list<Session*> sessions_;  // the oldest first
};

}  // namespace ivyreel
