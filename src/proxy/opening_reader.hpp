// Reads and validates the opening line of a downstream connection.
#pragma once

#include <optional>
#include <variant>

#include "admin/metrics.hpp"
#include "io/scheduler.hpp"
#include "protocol/line.hpp"
#include "proxy/client_responses.hpp"
#include "proxy/connection_pair.hpp"
#include "proxy/recent_request_ids.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

// Reads each downstream connection up to its opening line. Answers the health checks that the load balancer
// in front of the node sends before that line, and rejects invalid input.
class OpeningReader {
  public:
    OpeningReader(const Scheduler& scheduler, const RequestTracker& tracker,
                  RecentRequestIds& recentRequestIds, Metrics& metrics)
        : scheduler_(scheduler),
          tracker_(tracker),
          recentRequestIds_(recentRequestIds),
          metrics_(metrics),
          responses_(metrics) {}

    // Enables or disables the answers to health checks. While they are disabled, health checks wait for up to
    // the opening timeout.
    void setAnsweringHealthChecks(bool answering) { answersHealthChecks_ = answering; }

    // Returns the opening line of a valid request. None if there will be no request: the input was rejected
    // and the connection closed, or the connection ended, timed out or was evicted.
    Task<std::optional<OpeningLine>> read(ConnectionPair& connections);

  private:
    struct Rejected {
        InputError error = InputError::Malformed;
        RequestClassMetrics* classMetrics = nullptr;
    };
    using Validated = std::variant<OpeningLine, Rejected>;

    Validated takeOpening(Connection& client, const Line& line);
    std::optional<InputError> validate(const OpeningLine& opening);
    Task<void> waitUntilAnsweringHealthChecks(ConnectionPair& connections, Time deadline);
    bool checkEnd(const ConnectionPair& connections, Time deadline);

    const Scheduler& scheduler_;
    const RequestTracker& tracker_;
    RecentRequestIds& recentRequestIds_;
    Metrics& metrics_;
    ClientResponses responses_;
    bool answersHealthChecks_ = false;
};

}  // namespace ivyreel
