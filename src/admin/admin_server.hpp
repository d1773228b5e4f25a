// Serves the admin API over HTTP/1.1, one request per connection.
#pragma once

#include <cstddef>
#include <list>
#include <memory>

#include "admin/admin_api.hpp"
#include "io/scheduler.hpp"
#include "io/socket.hpp"

namespace ivyreel {

// While kMaxSessions or more sessions are open, no connection is accepted and the oldest session is evicted,
// so that clients that never complete their request cannot block others. A session counts as open from the
// next round of the scheduler, so one round may accept more connections than that.
class AdminServer {
  public:
    static constexpr std::size_t kMaxSessions = 16;
    // The descriptors of kMaxSessions sessions and of the listener.
    static constexpr std::size_t kMaxDescriptors = kMaxSessions + 1;

    // `inheritedListener` is a descriptor that already listens at `listen`, or -1 to create one. Throws
    // std::system_error.
    AdminServer(Scheduler& scheduler, AdminDelegate& node, const Address& listen, int inheritedListener = -1);

    Address address() const { return listener_.localAddress(); }
    int listener() const { return listener_.descriptor(); }
    // Starts or stops accepting. While the server does not accept, new connections wait in the listen queue.
    void setAccepting(bool accepting);
    // Accepts connections until the scheduler drops this task.
    Task<void> accept();

  private:
    struct Session;

    // Starts sessions until no connection waits or a session has to be evicted. Returns when to call this
    // again even if the socket reports no event.
    Time acceptPending();
    void startSession(int descriptor);
    void evictOldestSession();
    Task<void> serve(std::unique_ptr<Session> owned);

    Scheduler& scheduler_;
    AdminDelegate& node_;
    Signal signal_;
    Socket listener_;
    bool accepting_ = true;
    std::list<Session*> sessions_;  // oldest first
};

}  // namespace ivyreel
