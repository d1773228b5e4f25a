// Accepts downstream connections at the listening socket of the proxy.
#pragma once

#include <functional>

#include "admin/metrics.hpp"
#include "io/scheduler.hpp"
#include "io/socket.hpp"
#include "proxy/descriptor_budget.hpp"
#include "proxy/unopened_connections.hpp"

namespace ivyreel {

// Accepts connections in batches. Evicts the oldest unopened connection when their number reaches its limit,
// and pauses when the process or the system has run out of descriptors or memory.
class ConnectionAcceptor {
  public:
    // Serves a new connection and takes ownership of its descriptor. May throw std::system_error.
    using Handler = std::function<void(int descriptor)>;

    // `inheritedListener` is a descriptor that already listens at `address`, or -1 to create one. Throws
    // std::system_error.
    ConnectionAcceptor(Scheduler& scheduler, UnopenedConnections& unopened,
                       const DescriptorBudget& descriptors, Metrics& metrics, const Address& address,
                       int inheritedListener, Handler handler);

    Address address() const { return listener_.localAddress(); }
    int descriptor() const { return listener_.descriptor(); }

    // Starts or stops accepting. While the acceptor is stopped, new connections wait in the listen queue.
    void setAccepting(bool accepting);
    // Accepts connections until the scheduler drops this task.
    Task<void> run();

  private:
    Time acceptBatch();
    void reportExhaustion();
    void handle(int descriptor);

    Scheduler& scheduler_;
    UnopenedConnections& unopened_;
    const DescriptorBudget& descriptors_;
    Metrics& metrics_;
    Handler handler_;
    Signal signal_;
    Socket listener_;
    bool accepting_ = true;
    bool exhaustionReported_ = false;
};

}  // namespace ivyreel
