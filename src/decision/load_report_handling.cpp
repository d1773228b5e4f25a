#include "decision/load_report_handling.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace ivyreel {

bool applyLoadReport(Endpoint& endpoint, const LoadReport& report, Time now) {
    endpoint.activeRequests = std::max(0.0, report.activeRequests.value_or(0.0));
    const std::optional<double> load =
        report.loadOverCapacity ? report.loadOverCapacity : report.cpuUtilisation;
    if (!load) return false;
    endpoint.loadOverCapacity = std::max(0.0, *load);
    endpoint.utilisation = static_cast<int>(
        std::lround(std::min(endpoint.loadOverCapacity * kFullUtilisation, kFullUtilisation)));
    endpoint.reported = true;
    endpoint.reportedAt = now;
    const Time shownBefore = now - kReportLag;
    std::erase_if(endpoint.recentSends,
                  [shownBefore](const RecentSend& send) { return send.sentAt < shownBefore; });
    return true;
}

}  // namespace ivyreel
