#include "event_generator.hpp"

#include <array>
#include <chrono>
#include <cmath>
#include <utility>
#include <variant>
#include <vector>

namespace ivyreel::test {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeedFactor = 7919;  // makes the engine's random sequence differ from the generator's

Settings settingsOf(const GeneratedCase& generated) {
    Settings settings = generated.settings;
    settings.seed = generated.seed * kSeedFactor;
    return settings;
}

}  // namespace

EventGenerator::EventGenerator(const GeneratedCase& generated)
    : case_(generated),
      random_(generated.seed),
      settings_(settingsOf(generated)),
      fleet_({generated.endpoints, generated.settings.nodes, generated.targetLoad, generated.capacityUnits},
             random_),
      engine_(makeDecisionEngine(settings_)) {}

GeneratedResult EventGenerator::run() {
    handle(Started{});
    deliverEndpointList(EndpointListKind::Full);
    resumeConnections();
    schedule(0us, [this] { generateArrival(); });
    schedule(10ms, [this] { generateMeasurement(); });
    schedule(100ms, [this] { applyRandomChange(); });
    schedule(1s, [this] { digestState(); });
    while (counts_.events < case_.events) {
        const auto next = scheduledSteps_.begin();
        now_ = next->first;
        const std::function<void()> step = std::move(next->second);
        scheduledSteps_.erase(next);
        step();
    }
    digestState();
    return {hash_.value(), counts_};
}

void EventGenerator::schedule(Micros after, std::function<void()> step) {
    scheduledSteps_.emplace(now_ + after, std::move(step));
}

void EventGenerator::handle(const Event& event) {
    ++counts_.events;
    std::vector<Action> actions;
    engine_->handle(now_, event, actions);
    hash_.add(now_);
    for (const Action& action : actions) {
        std::visit([this](const auto& a) { hash_.add(a); }, action);
        std::visit([this](const auto& a) { execute(a); }, action);
    }
}

void EventGenerator::digestState() {
    hash_.add(engine_->learnedState(now_));
    hash_.add(std::uint64_t{engine_->excludedEndpointCount()});
    hash_.add(engine_->isAttemptStillValid(now_, RequestId{lastRequestId_ + 1000}));
    for (const auto& [id, request] : requests_)
        if (request.attempting) hash_.add(engine_->isAttemptStillValid(now_, id));
    schedule(1s, [this] { digestState(); });
}

void EventGenerator::execute(const SetTimer& action) {
    ++counts_.timers;
    schedule(action.after, [this, token = action.token] { handle(TimerExpired{token}); });
}

void EventGenerator::execute(const WatchEndpoints& /*action*/) {
    ++counts_.watches;
    const double result = random_.next();
    if (result < 0.2) return;  // no response at all
    const EndpointListKind kind = result < 0.5   ? EndpointListKind::Failed
                                  : result < 0.6 ? EndpointListKind::Cached
                                                 : EndpointListKind::Full;
    schedule(micros(random_.between(0.001, 0.2)), [this, kind] { deliverEndpointList(kind); });
}

void EventGenerator::execute(const RejectRequest& action) {
    ++counts_.rejections;
    removeRequest(action.request);
}

void EventGenerator::execute(const FailRequest& action) {
    ++counts_.failures;
    removeRequest(action.request);
}

// The client reconnects 0.01 s to 0.5 s later.
void EventGenerator::execute(const MigrateConnection& action) {
    ++counts_.migrations;
    const auto at = requests_.find(action.request);
    if (at == requests_.end()) return;
    const RequestArrived before = at->second.arrival;
    removeRequest(action.request);
    schedule(micros(random_.between(0.01, 0.5)), [this, before] {
        RequestArrived arrival = before;
        arrival.request = RequestId{++lastRequestId_};
        arrival.reconnecting = true;
        submit(arrival);
    });
}

void EventGenerator::execute(const StartHealthCheck& action) {
    ++counts_.healthChecks;
    const SimulatedEndpoint* endpoint = fleet_.find(action.endpoint);
    const bool unresponsive = endpoint == nullptr || now_ < endpoint->unresponsiveUntil ||
                              random_.chance(case_.unansweredHealthChecks);
    if (unresponsive && random_.chance(0.1)) return;  // the health check never completes
    if (unresponsive)
        return completeHealthCheck(action.endpoint,
                                   random_.chance(0.7) ? Outcome::Timeout : Outcome::ConnectFailed, 250ms);
    const double latency = random_.chance(0.1) ? random_.between(0.002, random_.chance(0.2) ? 0.3 : 0.012)
                                               : random_.between(0.001, 0.003) * endpoint->slowness;
    const double result = random_.next();
    if (result < 0.94) return completeHealthCheck(action.endpoint, Outcome::Ok, micros(latency));
    static constexpr std::array kFailures = {Outcome::Error, Outcome::Rejected,  Outcome::ConnectFailed,
                                             Outcome::Reset, Outcome::Cancelled, Outcome::NotSent};
    completeHealthCheck(action.endpoint, kFailures[random_.below(kFailures.size())], micros(latency));
}

void EventGenerator::completeHealthCheck(EndpointId endpoint, Outcome outcome, Micros elapsed) {
    schedule(elapsed, [this, endpoint, outcome, elapsed] {
        const bool reports = settings_.loadReportMode != LoadReportMode::None && outcome != Outcome::Timeout;
        handle(HealthCheckCompleted{endpoint, outcome, elapsed,
                                    reports ? fleet_.report(endpoint) : std::nullopt});
    });
}

GeneratedResult runGeneratedCase(const GeneratedCase& generated) {
    return EventGenerator(generated).run();
}

}  // namespace ivyreel::test
