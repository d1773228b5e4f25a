#include "decision/fleet_snapshot.hpp"

#include <algorithm>
#include <utility>

#include "decision/duration_arithmetic.hpp"
#include "decision/effective_capacity.hpp"
#include "decision/saturation_threshold.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr Micros kRecentSendWindow = 2s;   // this node's sends in this window indicate what other nodes send
constexpr double kMaxSampleSeconds = 1.0;  // maximum time for which one capacity sample counts

// Sums over the listed endpoints.
struct FleetTotals {
    double utilisation = 0.0;
    double load = 0.0;  // reported load over capacity
    double spareUtilisation = 0.0;
    double loadFromOtherNodes = 0.0;
    double loadFromThisNode = 0.0;                 // at all listed endpoints, without recent sends
    double freshlyReportedLoadFromThisNode = 0.0;  // at endpoints with fresh reports, without recent sends
    double activeRequests = 0.0;
    int connectionsFromThisNode = 0;  // at endpoints with fresh reports, without recent sends
    int freshReports = 0;
    int usableWithoutFreshReport = 0;
    int recentSends = 0;
};

void addRecentSends(FleetTotals& totals, const Endpoint& endpoint, const DecisionContext& context) {
    for (const RecentSend& send : endpoint.recentSends) {
        if (send.fromAnotherNode)
            totals.loadFromOtherNodes += send.load / static_cast<double>(context.endpoints.size());
        else if (send.sentAt > context.now - kRecentSendWindow)
            ++totals.recentSends;
    }
}

void addEndpoint(FleetTotals& totals, const Endpoint& endpoint, const DecisionContext& context) {
    const double loadFromThisNode = reportedLoadFromThisNode(endpoint);
    totals.loadFromThisNode += loadFromThisNode;
    const bool usable = context.endpoints.isUsable(endpoint);
    if (!hasFreshReport(endpoint, context.now)) {
        totals.usableWithoutFreshReport += usable ? 1 : 0;
        return;
    }
    if (usable)
        totals.spareUtilisation += spareUtilisation(endpoint.utilisation, context.saturationThreshold) *
                                   effectiveCapacity(endpoint, context.settings, context.now);
    totals.utilisation += endpoint.utilisation;
    totals.load += endpoint.loadOverCapacity;
    totals.freshlyReportedLoadFromThisNode += loadFromThisNode;
    totals.connectionsFromThisNode +=
        endpoint.connectionsFromThisNode - static_cast<int>(endpoint.recentSends.size());
    totals.activeRequests += endpoint.activeRequests;
    ++totals.freshReports;
}

FleetTotals computeTotals(const DecisionContext& context) {
    FleetTotals totals;
    for (const Endpoint& endpoint : context.endpoints) {
        if (!endpoint.listed) continue;
        addRecentSends(totals, endpoint, context);
        addEndpoint(totals, endpoint, context);
    }
    return totals;
}

// The work of all nodes' connections, in microseconds per second, from the numbers of active requests that
// the endpoints report. Where these are not reported, each other node is assumed to have as much work as this
// one.
double workOfAllNodes(const FleetTotals& totals, std::uint32_t nodes) {
    if (totals.activeRequests > 0 && totals.connectionsFromThisNode > 0)
        return totals.activeRequests * totals.freshlyReportedLoadFromThisNode /
               totals.connectionsFromThisNode;
    return totals.loadFromThisNode * nodes * totals.freshReports /
           std::max(totals.freshReports + totals.usableWithoutFreshReport, 1);
}

}  // namespace

const FleetSnapshot& FleetSnapshotCache::refresh(const DecisionContext& context,
                                                 const ArrivalRate& arrivals) {
    if (!outdated_ && computedAt_ == context.now) return snapshot_;
    outdated_ = false;
    const Micros elapsed = context.now - std::exchange(computedAt_, context.now);
    const double span = std::clamp(seconds(elapsed), 0.0, kMaxSampleSeconds);
    const FleetTotals totals = computeTotals(context);
    snapshot_.sendRate = sendRate_.measure(context.now, arrivals.perSecond(context.now));
    snapshot_.recentSendCount = totals.recentSends;
    snapshot_.loadFromOtherNodes = totals.loadFromOtherNodes;
    snapshot_.meanUtilisation =
        totals.freshReports > 0 ? totals.utilisation / totals.freshReports : kUnknownUtilisation;
    snapshot_.totalSpareUtilisation = totals.spareUtilisation;
    snapshot_.totalSpareUtilisation +=
        totals.usableWithoutFreshReport *
        spareUtilisation(snapshot_.meanUtilisation, context.saturationThreshold);
    const double work = workOfAllNodes(totals, context.settings.nodes);
    capacity_.add({work, totals.load, totals.connectionsFromThisNode}, span);
    snapshot_.capacityPerLoad =
        1.0 / capacity_.typicalCapacity(kDefaultCapacity, context.endpoints.meanListedSize());
    return snapshot_;
}

void FleetSnapshotCache::recordSend(const RecentSend& send) {
    if (!send.fromAnotherNode) sendRate_.recordSend(send);
    outdated_ = true;
}

void FleetSnapshotCache::restore(const LearnedFleetState& learned) {
    capacity_.restore(learned);
    outdated_ = true;
}

}  // namespace ivyreel
