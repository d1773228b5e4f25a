// The graceful shutdown of a node: migrates or hands over its connections before the process is killed.
#pragma once

#include <functional>

#include "hot_restart/established_connection.hpp"
#include "io/scheduler.hpp"
#include "proxy/active_connections.hpp"
#include "proxy/recent_request_ids.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

// While a successor serves, the node hands over each connection as soon as it is established. The node goes
// on relaying the remaining connections at first and then, with or without a successor, migrates them in
// equal shares at regular intervals. The load on the other nodes therefore rises slowly, and a node that was
// restarted just before this one serves again when the migration starts.
class GracefulShutdown {
  public:
    GracefulShutdown(Scheduler& scheduler, RequestTracker& tracker, ActiveConnections& active,
                     const RecentRequestIds& recentRequestIds)
        : scheduler_(scheduler), tracker_(tracker), active_(active), recentRequestIds_(recentRequestIds) {}

    // Calls `drained` once, when the migration has started and no request is open. The task goes on until the
    // scheduler drops it, so that connections accepted later are served and migrated too.
    Task<void> run(Successor& successor, std::function<void()> drained);

  private:
    void handOver(Successor& successor);
    void migrateShare(Micros timeLeft) const;
    void failPendingRequests();

    Scheduler& scheduler_;
    RequestTracker& tracker_;
    ActiveConnections& active_;
    const RecentRequestIds& recentRequestIds_;
};

}  // namespace ivyreel
