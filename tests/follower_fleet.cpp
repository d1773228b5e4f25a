#include "follower_fleet.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>
#include <variant>

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

constexpr Micros kSampleInterval = 50ms;

}  // namespace

// Makes no decisions, and calls `listChanged` for each change of the list.
class Follower::RecordingEngine final : public DecisionEngine {
  public:
    explicit RecordingEngine(std::function<void()> listChanged) : listChanged_(std::move(listChanged)) {}
    void handle(Time, const Event& event, std::vector<Action>&) override {
        const auto* list = std::get_if<EndpointListChanged>(&event);
        if (list != nullptr && list->kind != EndpointListKind::Failed) listChanged_();
    }

  private:
    std::function<void()> listChanged_;
};

Follower::Follower(Scheduler& scheduler, const Address& discovery, std::uint64_t seed)
    : scheduler_(scheduler),
      tracker_(NodeSettings{}, *this,
               [this](const Settings&) {
                   return std::make_unique<RecordingEngine>([this] { recordReception(); });
               }),
      connector_(tracker_, metrics_),
      watcher_(scheduler, tracker_, connector_, metrics_, discovery, seed) {}

void Follower::recordReception() {
    receptions_.try_emplace(watcher_.snapshot().version, Reception{scheduler_.now(), metrics_.listChanges});
}

std::optional<Follower::Reception> Follower::receptionOf(std::uint64_t version) const {
    const auto at = receptions_.lower_bound(version);
    if (at == receptions_.end()) return std::nullopt;
    return at->second;
}

void Follower::sampleLiveness() {
    if (watcher_.live()) {
        gapSince_.reset();
        return;
    }
    if (!gapSince_) gapSince_ = scheduler_.now();
    longestGap_ = std::max(longestGap_, scheduler_.now() - *gapSince_);
}

FollowerFleet::FollowerFleet(Scheduler& scheduler, std::size_t count, const Address& discovery,
                             std::uint64_t seed)
    : scheduler_(scheduler) {
    for (std::size_t i = 0; i < count; ++i) {
        followers_.push_back(std::make_unique<Follower>(scheduler, discovery, seed + i));
    }
}

void FollowerFleet::start() {
    for (const auto& follower : followers_) {
        follower->watcher().start();
        scheduler_.spawn(follower->watcher().run());
    }
    scheduler_.spawn(sampleLiveness());
}

void FollowerFleet::setDiscoveryAddress(const Address& discovery) {
    for (const auto& follower : followers_) {
        follower->watcher().setDiscoveryAddress(discovery);
    }
}

bool FollowerFleet::allLive() const {
    return std::all_of(followers_.begin(), followers_.end(),
                       [](const auto& follower) { return follower->watcher().live(); });
}

std::size_t FollowerFleet::countHavingReceived(std::uint64_t version) const {
    return static_cast<std::size_t>(std::count_if(
        followers_.begin(), followers_.end(),
        [version](const auto& follower) { return follower->receptionOf(version).has_value(); }));
}

std::optional<Time> FollowerFleet::timeAllReceived(std::uint64_t version) const {
    Time last{0};
    for (const auto& follower : followers_) {
        const auto reception = follower->receptionOf(version);
        if (!reception) return std::nullopt;
        last = std::max(last, reception->at);
    }
    return last;
}

Micros FollowerFleet::longestGap() const {
    Micros longest{0};
    for (const auto& follower : followers_) {
        longest = std::max(longest, follower->longestGap());
    }
    return longest;
}

Task<void> FollowerFleet::sampleLiveness() {
    Signal pause{scheduler_};
    for (;;) {
        for (const auto& follower : followers_) {
            follower->sampleLiveness();
        }
        co_await pause.wait(scheduler_.now() + kSampleInterval);
    }
}

}  // namespace ivyreel
