// The relay of an established connection between a client and its endpoint.
#pragma once

#include <optional>
#include <string_view>

#include "admin/metrics.hpp"
#include "hot_restart/established_connection.hpp"
#include "io/scheduler.hpp"
#include "proxy/connection_pair.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

// Relays complete lines in both directions until one side ends its connection, the client is migrated, or the
// connections are handed over to a successor. Reports the load figures, end notices and message delays of the
// endpoint to the tracker, and how the connection ended. All constructor arguments must outlive run().
class Relay {
  public:
    // `state` holds the buffered bytes when the relay starts and, if run() returns true, those to hand over.
    Relay(ConnectionPair& connections, TrackedRequest& trackedRequest, RequestTracker& tracker,
          Metrics& metrics, RelayState& state)
        : connections_(connections),
          trackedRequest_(trackedRequest),
          tracker_(tracker),
          metrics_(metrics),
          state_(state) {}

    // Runs the relay. Returns true if both connections are still open and are to be handed over.
    Task<bool> run();

  private:
    // The latest notice of the endpoint that it ends the connection: BYE (Completed) or MOVE (Migrate).
    enum class EndNotice { None, Completed, Migrate };

    bool step();
    bool prepareHandover();
    void scanClientLines();
    void scanUpstreamLines();
    void handleUpstreamLine(std::string_view line);
    void reportUpstreamEnd();
    Task<void> closeAfterUpstreamEnd();
    Task<void> closeAfterClientEnd();
    Task<void> migrate();
    Time now() const { return connections_.signal.scheduler().now(); }

    ConnectionPair& connections_;
    TrackedRequest& trackedRequest_;
    RequestTracker& tracker_;
    Metrics& metrics_;
    RelayState& state_;
    EndNotice endNotice_ = EndNotice::None;
    bool overlongLine_ = false;
    std::optional<LoadReport> finalLoad_;  // the load report of the BYE line
};

}  // namespace ivyreel
