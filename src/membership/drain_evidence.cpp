#include "membership/drain_evidence.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace ivyreel {

namespace {

// The share of its capacity that an endpoint uses. The decision engine interprets load reports in the same
// way.
std::optional<double> utilisationOf(const LoadReport& report) {
    return report.loadOverCapacity ? report.loadOverCapacity : report.cpuUtilisation;
}

bool isPrompt(const EndpointRejectedConnection& rejection) {
    const auto elapsed = static_cast<double>(rejection.elapsed.count());
    const auto timeout = static_cast<double>(rejection.timeout.count());
    return elapsed < kPromptRejectionShare * timeout;
}

std::vector<EndpointId> difference(const std::set<EndpointId>& from, const std::set<EndpointId>& without) {
    std::vector<EndpointId> result;
    std::set_difference(from.begin(), from.end(), without.begin(), without.end(), std::back_inserter(result));
    return result;
}

}  // namespace

std::size_t withholdingLimit(std::size_t usableEndpoints) {
    if (usableEndpoints < 2) return 0;
    return (usableEndpoints + kUsablePerWithheld - 1) / kUsablePerWithheld;
}

WithholdingChange DrainEvidence::handle(Time now, const DrainEvent& event) {
    removeExpired(now);
    std::visit([this, now](const auto& typedEvent) { on(now, typedEvent); }, event);
    return update();
}

WithholdingChange DrainEvidence::expire(Time now) {
    removeExpired(now);
    return update();
}

Time DrainEvidence::nextExpiry() const {
    Time next = Time::max();
    for (const auto& [endpoint, evidence] : evidence_) {
        next = std::min(next, evidence.lastConfirmedAt + kEvidenceLifetime);
    }
    return next;
}

void DrainEvidence::on(Time now, const EndpointSentMove& event) {
    if (live_ || !isListed(event.endpoint)) return;
    Evidence& evidence = evidence_[event.endpoint];
    if (evidence.kind != Kind::Move) evidence.sufficientSince = now;
    evidence.kind = Kind::Move;
    evidence.lastConfirmedAt = now;
}

// A BUSY neither confirms nor replaces a MOVE: weak evidence does not prolong strong evidence.
void DrainEvidence::on(Time now, const EndpointRejectedConnection& event) {
    if (event.report) recordUtilisation(now, event.endpoint, *event.report);
    if (live_ || !isListed(event.endpoint)) return;
    if (!isPrompt(event) || mayBeFull(now, event.endpoint)) return;
    Evidence& evidence = evidence_[event.endpoint];
    if (evidence.kind == Kind::Move) return;
    ++evidence.rejections;
    if (evidence.rejections == kRejectionsNeeded) evidence.sufficientSince = now;
    evidence.lastConfirmedAt = now;
}

// An attempt that started before the evidence may have been accepted before the drain, even if its UP arrives
// later. An attempt that started at the same time as the evidence is the retry after a BUSY.
void DrainEvidence::on(Time /*now*/, const EndpointAcceptedConnection& event) {
    const auto found = evidence_.find(event.endpoint);
    if (found == evidence_.end()) return;
    if (event.attemptStartedAt >= found->second.lastConfirmedAt) evidence_.erase(found);
}

void DrainEvidence::on(Time now, const EndpointReportedLoad& event) {
    recordUtilisation(now, event.endpoint, event.report);
}

void DrainEvidence::on(Time /*now*/, const ListFreshnessChanged& event) {
    live_ = event.freshness.live();
    if (live_) evidence_.clear();
}

void DrainEvidence::on(Time /*now*/, const ListEntriesReceived& event) {
    if (event.full) {
        for (auto& [id, endpoint] : endpoints_) {
            endpoint.availability = Availability::Gone;
        }
    }
    for (const ListedEndpoint& entry : event.entries) {
        updateEndpoint(entry);
    }
    std::erase_if(evidence_, [this](const auto& entry) { return !isListed(entry.first); });
}

void DrainEvidence::on(Time /*now*/, const OperatorBanChanged& event) {
    endpoints_[event.endpoint].bannedByOperator = event.banned;
}

void DrainEvidence::recordUtilisation(Time now, EndpointId endpoint, const LoadReport& report) {
    const std::optional<double> share = utilisationOf(report);
    if (!share || !isListed(endpoint)) return;
    endpoints_[endpoint].utilisation = Utilisation{*share, now};
}

// An endpoint of unknown utilisation may be full, so that its BUSY is not evidence of a drain.
bool DrainEvidence::mayBeFull(Time now, EndpointId endpoint) const {
    const std::optional<Utilisation>& utilisation = endpoints_.at(endpoint).utilisation;
    if (!utilisation) return true;
    if (now - utilisation->reportedAt > kUtilisationLifetime) return true;
    return utilisation->share > kFullUtilisationThreshold;
}

bool DrainEvidence::isListed(EndpointId endpoint) const {
    const auto found = endpoints_.find(endpoint);
    return found != endpoints_.end() && found->second.availability != Availability::Gone;
}

void DrainEvidence::updateEndpoint(const ListedEndpoint& entry) {
    EndpointState& endpoint = endpoints_[entry.id];
    if (entry.startedAt > endpoint.startedAt) {
        evidence_.erase(entry.id);
        endpoint.utilisation.reset();
    }
    endpoint.availability = entry.availability;
    endpoint.startedAt = entry.startedAt;
}

void DrainEvidence::removeExpired(Time now) {
    std::erase_if(evidence_, [now](const auto& entry) {
        return now >= entry.second.lastConfirmedAt + kEvidenceLifetime;
    });
}

std::size_t DrainEvidence::usableEndpoints() const {
    return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(),
                                                  [](const auto& entry) { return entry.second.isUsable(); }));
}

// MOVE takes precedence over BUSY. Among endpoints with the same kind of evidence, the evidence that has been
// sufficient for longest takes precedence, so that new evidence of this kind does not release an endpoint
// that is already withheld.
std::set<EndpointId> DrainEvidence::chooseWithheld() const {
    std::vector<std::tuple<Kind, Time, EndpointId>> candidates;
    for (const auto& [id, evidence] : evidence_) {
        if (!evidence.isSufficient() || !endpoints_.at(id).isUsable()) continue;
        candidates.emplace_back(evidence.kind, evidence.sufficientSince, id);
    }
    std::sort(candidates.begin(), candidates.end());
    candidates.resize(std::min(candidates.size(), withholdingLimit(usableEndpoints())));
    std::set<EndpointId> chosen;
    for (const auto& [kind, since, id] : candidates) {
        chosen.insert(id);
    }
    return chosen;
}

WithholdingChange DrainEvidence::update() {
    if (evidence_.empty() && withheld_.empty()) return {};
    std::set<EndpointId> before = std::exchange(withheld_, chooseWithheld());
    return {difference(withheld_, before), difference(before, withheld_)};
}

}  // namespace ivyreel
