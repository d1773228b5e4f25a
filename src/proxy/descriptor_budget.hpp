// Divides the file descriptors of the node between unopened connections, requests and other uses.
#pragma once

#include <cstddef>

#include "health/health_checker.hpp"
#include "io/scheduler.hpp"
#include "proxy/active_connections.hpp"
#include "proxy/unopened_connections.hpp"

namespace ivyreel {

// Decides whether enough descriptors are free for one more request. Unopened connections have a fixed share,
// and kReservedDescriptors are reserved for other uses.
class DescriptorBudget {
  public:
    DescriptorBudget(const Scheduler& scheduler, HealthChecker& healthChecker,
                     const UnopenedConnections& unopened, const ActiveConnections& active, std::size_t limit)
        : scheduler_(scheduler),
          healthChecker_(healthChecker),
          unopened_(unopened),
          active_(active),
          limit_(limit) {}

    // The maximum number of descriptors that the node may have open.
    std::size_t limit() const { return limit_; }
    void setLimit(std::size_t limit) { limit_ = limit; }

    // The maximum number of unopened connections (unopened_connections.hpp).
    std::size_t maxUnopened() const;
    // Whether enough descriptors are free for one more request. If they are not, this closes the idle
    // connections of health checks and checks once more.
    bool admitsRequest();

  private:
    bool full() const;

    const Scheduler& scheduler_;
    HealthChecker& healthChecker_;
    const UnopenedConnections& unopened_;
    const ActiveConnections& active_;
    std::size_t limit_;
};

}  // namespace ivyreel
