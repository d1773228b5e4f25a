// Slow start of a whole fleet: the decision engines of many nodes share the same endpoints in a seeded
// simulation. The budget limits the attempts that an endpoint gets from all nodes together.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "decision_engine_driver.hpp"

namespace ivyreel::test {
namespace {

double inSeconds(Micros span) {
    return std::chrono::duration<double>(span).count();
}

Micros micros(double seconds) {
    return Micros{static_cast<Micros::rep>(seconds * 1e6)};
}

// The parameters of one simulation. The engine's settings are drawn at random from their allowed ranges.
struct FleetScenario {
    std::uint32_t nodes = 100;
    std::uint64_t seed = 1;
    bool listsCapacities = false;    // the endpoint list contains capacities
    bool reportsConnections = true;  // load reports contain the number of connections
    bool nodesRestart = true;        // nodes restart, a tenth of them at a time
    double arrivalsPerSecond = 250;  // at all nodes together
    double minimumBudgetUse = 0.25;  // minimum part of the budget that has to be used
};

class FleetSimulation {
  public:
    explicit FleetSimulation(const FleetScenario& scenario) : scenario_(scenario), random_(scenario.seed) {
        settings_ = defaultSettings();
        settings_.nodes = scenario.nodes;
        settings_.operatingLimits = OperatingLimits{
            16ms, 500ms, uniform(0.1, 0.4), micros(uniform(8, 24)), uniform(2, 4), micros(uniform(1, 2)),
            10s};
        settings_.weightKind = scenario.listsCapacities ? WeightKind::Nominal : WeightKind::None;
        settings_.classes.push_back(settings_.classes.front());
        makeEndpoints();
        for (std::uint32_t i = 0; i < scenario.nodes; ++i) {
            // One node in ten gets several times the mean arrival rate.
            arrivalRates_.push_back(scenario.arrivalsPerSecond / scenario.nodes * (i % 10 == 3 ? 4.0 : 0.67));
            nodes_.emplace_back();
            startNode(i);
            scheduleArrival(i);
        }
        scheduleReleases();
        scheduleBursts();
        if (scenario.nodesRestart) scheduleRestarts();
    }

    void run(Micros span) {
        const Time end = now_ + span;
        while (!scheduledEvents_.empty() && scheduledEvents_.begin()->first <= end) {
            auto next = scheduledEvents_.extract(scheduledEvents_.begin());
            now_ = next.key();
            next.mapped()();
        }
        now_ = end;
    }

    // The largest excess of the attempts in a window over the budget N of a new endpoint, relative to the
    // excess that chance explains: 2 * sqrt(N) + 2.
    double worstBudgetExcess() const {
        double most = -1.0;
        for (const SimulatedEndpoint& endpoint : endpoints_) {
            if (endpoint.startedAt == Time{0}) continue;
            const auto& attempts = endpoint.attempts;
            std::size_t end = 0;
            for (std::size_t i = 0; i < attempts.size(); ++i) {
                while (end < attempts.size() &&
                       attempts[end] <= attempts[i] + settings_.operatingLimits.overloadWindow)
                    ++end;
                const double budget = budgetPerSecond(endpoint, attempts[i]) *
                                      inSeconds(settings_.operatingLimits.overloadWindow);
                const double over = static_cast<double>(end - i) - budget;
                most = std::max(most, over / (2.0 * std::sqrt(budget) + 2.0));
            }
        }
        return most;
    }

    // The attempts that new endpoints got during slow start, as a part of their budget.
    double budgetUse() const {
        double sent = 0.0;
        double budget = 0.0;
        for (const SimulatedEndpoint& endpoint : endpoints_) {
            if (endpoint.startedAt == Time{0}) continue;
            sent += static_cast<double>(endpoint.attempts.size());
            for (Time at = endpoint.startedAt; at < std::min(now_, slowStartEndsAt(endpoint)); at += 100ms)
                budget += budgetPerSecond(endpoint, at) * 0.1;
        }
        return sent / budget;
    }

  private:
    struct SimulatedEndpoint {
        EndpointEntry entry;
        double capacity = 0.0;  // in connections of the mean load
        double load = 0.0;
        int connections = 0;
        bool isFailing = false;
        Time startedAt{0};
        std::vector<Time> attempts;  // during its slow start
    };
    struct SimulatedNode {
        std::unique_ptr<DecisionEngine> engine;
        std::uint64_t incarnation = 0;
        bool isRunning = false;
        std::map<RequestId, EndpointId> connections;
    };

    double uniform(double from, double to) { return from + (to - from) * unit(); }
    double unit() { return std::uniform_real_distribution<double>()(random_); }
    void schedule(Time when, std::function<void()> what) { scheduledEvents_.emplace(when, std::move(what)); }

    void makeEndpoints() {
        // Two kinds of endpoints, one with half the capacity of the other, each with a random spread. The
        // unit of capacity is the mean load of a connection, which is 1.
        const double large = uniform(40, 120);
        for (std::uint64_t id = 1; id <= kOldEndpoints + kNewEndpoints; ++id) {
            SimulatedEndpoint endpoint;
            endpoint.entry = endpointEntry(id);
            const bool small = id % 3 == 0;
            endpoint.entry.kind = KindIndex{small ? 1U : 0U};
            endpoint.capacity = large * (small ? 0.5 : 1.0) * uniform(0.9, 1.1);
            endpoint.entry.listedCapacity = endpoint.capacity / 25.0;
            endpoint.isFailing = id % 11 == 0;
            endpoints_.push_back(endpoint);
        }
    }

    // New endpoints start within a few seconds, while some of the old endpoints drain.
    void scheduleReleases() {
        for (std::uint64_t i = 0; i < kNewEndpoints; ++i) {
            schedule(now_ + 6s + micros(uniform(0, 4)), [this, i] {
                SimulatedEndpoint& endpoint = endpoints_[kOldEndpoints + i];
                endpoint.startedAt = endpoint.entry.startedAt = now_;
                announce(endpoint.entry);
            });
            if (i % 2 == 0) {
                schedule(now_ + 8s + micros(uniform(0, 4)), [this, i] {
                    SimulatedEndpoint& endpoint = endpoints_[i];
                    endpoint.entry.availability = Availability::Draining;
                    announce(endpoint.entry);
                });
            }
        }
    }

    // Each node is notified of the change after a random delay.
    void announce(const EndpointEntry& entry) {
        for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
            schedule(now_ + micros(uniform(0.1, 1.0)), [this, i, entry] {
                if (nodes_[i].isRunning) deliver(i, EndpointListChanged{EndpointListKind::Delta, {entry}});
            });
        }
    }

    // Many clients connect within a second.
    void scheduleBursts() {
        for (const Micros when : {9s, 13s, 16s}) {
            schedule(now_ + when, [this] { scheduleBurst(); });
        }
    }

    void scheduleBurst() {
        for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
            for (int k = 0; k < 4; ++k)
                schedule(now_ + micros(uniform(0, 1)), [this, i] { submitRequest(i); });
        }
    }

    // Restarts a tenth of the nodes at a time; their clients reconnect to other nodes.
    void scheduleRestarts() {
        for (std::uint32_t step = 0; step < 10; ++step) {
            schedule(now_ + 7s + 1500ms * step, [this, step] {
                for (std::uint32_t i = step; i < nodes_.size(); i += 10)
                    restartNode(i);
            });
        }
    }

    void restartNode(std::uint32_t i) {
        nodes_[i].isRunning = false;
        const auto connections = std::exchange(nodes_[i].connections, {});
        for (const auto& [request, endpoint] : connections) {
            closeConnection(endpoint);
            schedule(now_ + micros(uniform(0.05, 0.8)), [this] { submitRequest(randomRunningNode()); });
        }
        schedule(now_ + 600ms, [this, i] { startNode(i); });
    }

    std::uint32_t randomRunningNode() {
        for (;;) {
            const auto i = static_cast<std::uint32_t>(random_() % nodes_.size());
            if (nodes_[i].isRunning) return i;
        }
    }

    void startNode(std::uint32_t i) {
        Settings settings = settings_;
        settings.nodeIndex = i;
        settings.seed = scenario_.seed * 1'000'000 + std::uint64_t{i} * 100 + nodes_[i].incarnation;
        nodes_[i].engine = makeDecisionEngine(settings);
        ++nodes_[i].incarnation;
        nodes_[i].isRunning = true;
        deliver(i, Started{});
        std::vector<EndpointEntry> listed;
        for (const SimulatedEndpoint& endpoint : endpoints_) {
            if (static_cast<std::uint64_t>(endpoint.entry.id) <= kOldEndpoints ||
                endpoint.startedAt != Time{0})
                listed.push_back(endpoint.entry);
        }
        deliver(i, EndpointListChanged{EndpointListKind::Full, listed});
    }

    void scheduleArrival(std::uint32_t i) {
        schedule(now_ + micros(-std::log(1.0 - unit()) / arrivalRates_[i]), [this, i] {
            if (nodes_[i].isRunning) submitRequest(i);
            scheduleArrival(i);
        });
    }

    void submitRequest(std::uint32_t i) {
        if (!nodes_[i].isRunning) return;
        RequestArrived request;
        request.request = RequestId{++lastRequestId_};
        request.requestClass = RequestClassIndex{lastRequestId_ % 3 == 0 ? 1U : 0U};
        request.clientTimeout = 3200ms;
        deliver(i, request);
    }

    SimulatedEndpoint& endpointOf(EndpointId id) { return endpoints_[static_cast<std::uint64_t>(id) - 1]; }

    void closeConnection(EndpointId id) {
        SimulatedEndpoint& endpoint = endpointOf(id);
        if (--endpoint.connections <= 0) endpoint.connections = 0;
        endpoint.load = std::max(0.0, endpoint.load - 1.0);
    }

    void deliver(std::uint32_t i, const Event& event) {
        std::vector<Action> actions;
        nodes_[i].engine->handle(now_, event, actions);
        const std::uint64_t incarnation = nodes_[i].incarnation;
        // Results are discarded if the node has stopped or restarted meanwhile.
        const auto later = [this, i, incarnation](Micros span, std::function<Event()> what) {
            schedule(now_ + span, [this, i, incarnation, what = std::move(what)] {
                if (nodes_[i].isRunning && nodes_[i].incarnation == incarnation) deliver(i, what());
            });
        };
        for (const Action& action : actions) {
            if (const auto* timer = std::get_if<SetTimer>(&action)) {
                later(timer->after, [token = timer->token] { return Event{TimerExpired{token}}; });
            } else if (const auto* check = std::get_if<StartHealthCheck>(&action)) {
                const LoadReport report =
                    reportLoad(endpointOf(check->endpoint));  // at the start of the check
                later(micros(uniform(0.005, 0.05)), [id = check->endpoint, report] {
                    return Event{HealthCheckCompleted{id, Outcome::Ok, 2ms, report}};
                });
            } else if (const auto* attempt = std::get_if<StartAttempt>(&action)) {
                startAttempt(i, *attempt, later);
            } else if (const auto* migration = std::get_if<MigrateConnection>(&action)) {
                const auto closed = nodes_[i].connections.extract(migration->request);
                if (closed.empty()) continue;
                closeConnection(closed.mapped());
                schedule(now_ + 60ms, [this] { submitRequest(randomRunningNode()); });
            }
        }
    }

    LoadReport reportLoad(const SimulatedEndpoint& endpoint) {
        LoadReport report = loadReport(endpoint.load / (endpoint.capacity * availableShare(endpoint, now_)));
        if (scenario_.reportsConnections) report.activeRequests = endpoint.connections;
        return report;
    }

    template <class Later>
    void startAttempt(std::uint32_t i, const StartAttempt& attempt, const Later& later) {
        SimulatedEndpoint& endpoint = endpointOf(attempt.endpoint);
        if (endpoint.startedAt != Time{0} && now_ < slowStartEndsAt(endpoint))
            endpoint.attempts.push_back(now_);
        const RequestId request = attempt.request;
        const EndpointId id = attempt.endpoint;
        if (endpoint.isFailing && unit() < 0.5) {
            later(20ms, [request, id] {
                return Event{AttemptEnded{request, AttemptIndex{0}, id, Outcome::Error, 20ms, false, {}}};
            });
            return;
        }
        ++endpoint.connections;
        endpoint.load += 1.0;
        nodes_[i].connections[request] = id;
        later(30ms, [request, id] {
            return Event{ConnectionEstablished{request, AttemptIndex{0}, id, 30ms}};
        });
        // The loads of connections differ widely, and many connections are nearly idle.
        const double load = 60'000 * std::exp(uniform(-2.5, 1.0)) * (unit() < 0.3 ? 0.1 : 1.0);
        later(50ms, [request, id, load] { return Event{ConnectionLoadMeasured{request, id, load}}; });
        later(micros(uniform(1, 4)), [this, i, request, id] {
            if (!nodes_[i].connections.extract(request).empty()) closeConnection(id);
            return Event{AttemptEnded{request, AttemptIndex{0}, id, Outcome::Ok, 30ms, true, {}}};
        });
    }

    double availableShare(const SimulatedEndpoint& endpoint, Time when) const {
        if (endpoint.startedAt == Time{0}) return 1.0;
        const double age =
            inSeconds(when - endpoint.startedAt) / inSeconds(settings_.operatingLimits.slowStartDuration);
        return std::clamp(settings_.operatingLimits.slowStartInitialShare +
                              (1.0 - settings_.operatingLimits.slowStartInitialShare) * age,
                          0.0, 1.0);
    }
    Time slowStartEndsAt(const SimulatedEndpoint& endpoint) const {
        return endpoint.startedAt + settings_.operatingLimits.slowStartDuration;
    }

    // Attempts a second: the rate that fills the endpoint's present capacity over its slow start, times the
    // overload multiple.
    double budgetPerSecond(const SimulatedEndpoint& endpoint, Time when) const {
        return settings_.operatingLimits.overloadMultiple * availableShare(endpoint, when) *
               endpoint.capacity / inSeconds(settings_.operatingLimits.slowStartDuration);
    }

    static constexpr std::uint64_t kOldEndpoints = 20;
    static constexpr std::uint64_t kNewEndpoints = 8;

    FleetScenario scenario_;
    std::mt19937_64 random_;
    Settings settings_;
    Time now_{1000s};
    std::multimap<Time, std::function<void()>> scheduledEvents_;
    std::vector<SimulatedEndpoint> endpoints_;
    std::vector<SimulatedNode> nodes_;
    std::vector<double> arrivalRates_;
    std::uint64_t lastRequestId_ = 0;
};

class SlowStartFleet : public testing::TestWithParam<std::tuple<FleetScenario, std::uint64_t>> {};

TEST_P(SlowStartFleet, StaysWithinBudgetAndUsesIt) {
    auto [scenario, seed] = GetParam();
    scenario.seed = seed;
    FleetSimulation simulation{scenario};
    simulation.run(26s);
    RecordProperty("worstWindow", std::to_string(simulation.worstBudgetExcess()));
    RecordProperty("budgetUse", std::to_string(simulation.budgetUse()));
    EXPECT_LE(simulation.worstBudgetExcess(), 1.0)
        << "a window has more attempts than the budget plus the excess that chance explains";
    EXPECT_GE(simulation.budgetUse(), scenario.minimumBudgetUse) << "new endpoints have to be used";
}

std::string scenarioName(const testing::TestParamInfo<SlowStartFleet::ParamType>& info) {
    const auto& [scenario, seed] = info.param;
    return std::to_string(scenario.nodes) + "Nodes" +
           (scenario.listsCapacities ? "WithListedCapacities" : "") +
           (scenario.reportsConnections ? "" : "WithoutConnectionCounts") + "Seed" + std::to_string(seed);
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, SlowStartFleet,
    testing::Combine(
        testing::Values(FleetScenario{.nodes = 25}, FleetScenario{.nodes = 100}, FleetScenario{.nodes = 350},
                        FleetScenario{.nodes = 150, .listsCapacities = true},
                        FleetScenario{.nodes = 150, .reportsConnections = false, .minimumBudgetUse = 0.1}),
        testing::Range<std::uint64_t>(1, 7)),
    scenarioName);

}  // namespace
}  // namespace ivyreel::test
