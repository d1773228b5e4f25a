#include "proxy/recent_request_ids.hpp"

#include <chrono>

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

constexpr Micros kRetentionAfterEnd = 10s;
constexpr std::size_t kMaxEndedIds = 131'072;  // 13,107 ends a second over the retention; about 80 bytes each

}  // namespace

void RecentRequestIds::open(std::uint64_t id) {
    ++openCount_;
    Usage& usage = usages_[id];
    ++usage.openRequests;
    if (usage.openRequests == 1 && observer_) observer_(id, true);
}

void RecentRequestIds::close(std::uint64_t id, Time now) {
    --openCount_;
    Usage& usage = usages_.at(id);
    --usage.openRequests;
    retainIfEnded(id, usage, now);
    if (usage.openRequests == 0 && observer_) observer_(id, false);
}

void RecentRequestIds::hold(std::uint64_t id) {
    ++usages_[id].holds;
}

void RecentRequestIds::release(std::uint64_t id, Time now) {
    Usage& usage = usages_.at(id);
    --usage.holds;
    retainIfEnded(id, usage, now);
}

// Starts the time for which the id stays known, if its last user has ended.
void RecentRequestIds::retainIfEnded(std::uint64_t id, Usage& usage, Time now) {
    if (usage.inUse()) return;
    usage.endedAt = now;
    ended_.push_back({now, id});
}

bool RecentRequestIds::isKnown(std::uint64_t id, Time now) {
    removeExpired(now);
    return usages_.contains(id);
}

std::vector<std::uint64_t> RecentRequestIds::all() const {
    std::vector<std::uint64_t> ids;
    ids.reserve(usages_.size());
    for (const auto& [id, usage] : usages_) {
        ids.push_back(id);
    }
    return ids;
}

void RecentRequestIds::removeExpired(Time now) {
    const Time oldestKept = now - kRetentionAfterEnd;
    while (!ended_.empty() && (ended_.front().endedAt < oldestKept || ended_.size() > kMaxEndedIds)) {
        remove(ended_.front());
        ended_.pop_front();
    }
}

// Forgets the id unless it has been in use since this end.
void RecentRequestIds::remove(const EndedId& ended) {
    const auto found = usages_.find(ended.id);
    if (found == usages_.end()) return;
    const Usage& usage = found->second;
    if (!usage.inUse() && usage.endedAt == ended.endedAt) usages_.erase(found);
}

}  // namespace ivyreel
