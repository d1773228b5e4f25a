#include "decision/endpoint_table.hpp"

#include <algorithm>
#include <utility>

namespace ivyreel {
namespace {

bool precedes(const Endpoint& endpoint, EndpointId id) {
    return endpoint.entry.id < id;
}

double meanSize(const std::vector<Endpoint>& endpoints) {
    double mean = 0.0;
    for (const Endpoint& endpoint : endpoints)
        mean += std::max(0.0, endpoint.entry.listedCapacity) / static_cast<double>(endpoints.size());
    return mean;
}

}  // namespace

void EndpointTable::apply(const EndpointListChanged& list, WeightKind weightKind, Time now,
                          Time nodeStartedAt) {
    if (list.kind != EndpointListKind::Delta) {
        for (Endpoint& endpoint : endpoints_)
            endpoint.listed = false;
    }
    for (const EndpointEntry& entry : list.endpoints)
        update(entry, now, nodeStartedAt);
    std::erase_if(endpoints_, [](const Endpoint& endpoint) {
        return !endpoint.listed && endpoint.connectionsFromThisNode == 0;
    });
    const bool listsSizes = weightKind == WeightKind::Nominal || weightKind == WeightKind::Rough;
    meanListedSize_ = listsSizes ? meanSize(endpoints_) : 0.0;
}

void EndpointTable::update(const EndpointEntry& entry, Time now, Time nodeStartedAt) {
    const bool isNew = find(entry.id) == nullptr;
    Endpoint& endpoint = findOrAdd(entry.id);
    if (isNew || endpoint.entry.startedAt != entry.startedAt) {
        // A new process under the same id: the learned state of the old process is discarded.
        Endpoint restarted;
        restarted.loadFromThisNode = endpoint.loadFromThisNode;
        restarted.connectionsFromThisNode = endpoint.connectionsFromThisNode;
        // A start time in the future does not postpone the warm-up.
        restarted.warmingUpSince = std::min(entry.startedAt, now);
        restarted.slowStartSlotsUsedUntil = std::max(restarted.warmingUpSince, nodeStartedAt);
        endpoint = std::move(restarted);
    }
    endpoint.entry = entry;
    endpoint.listed = entry.availability != Availability::Gone;
}

const Endpoint* EndpointTable::find(EndpointId id) const {
    const auto at = std::lower_bound(endpoints_.begin(), endpoints_.end(), id, precedes);
    return at == endpoints_.end() || at->entry.id != id ? nullptr : &*at;
}

Endpoint* EndpointTable::find(EndpointId id) {
    const Endpoint* found = std::as_const(*this).find(id);
    if (found == nullptr) return nullptr;
    return &endpoints_[static_cast<std::size_t>(found - endpoints_.data())];
}

Endpoint& EndpointTable::findOrAdd(EndpointId id) {
    if (Endpoint* known = find(id)) return *known;
    const auto at = std::lower_bound(endpoints_.begin(), endpoints_.end(), id, precedes);
    Endpoint endpoint;
    endpoint.entry.id = id;
    return *endpoints_.insert(at, std::move(endpoint));
}

void EndpointTable::setBanned(EndpointId id, bool banned) {
    banned_.erase(id);
    if (banned) banned_.insert(id);
}

std::size_t EndpointTable::excludedCount() const {
    return static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(), [this](const Endpoint& endpoint) {
            return endpoint.listed && (isBanned(endpoint) || isUnhealthy(endpoint));
        }));
}

void EndpointTable::removeSendsBefore(Time time) {
    for (Endpoint& endpoint : endpoints_)
        std::erase_if(endpoint.recentSends, [time](const RecentSend& send) { return send.sentAt < time; });
}

}  // namespace ivyreel
