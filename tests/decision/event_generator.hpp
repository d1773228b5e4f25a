// Generates pseudo-random events for one decision engine, executes the engine's actions, and computes a
// digest of all decisions. The class is implemented in event_generator.cpp (event loop and actions),
// generated_requests.cpp (requests and connections) and generated_changes.cpp (changes of the endpoint list,
// bans and settings).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "decision/decision_engine.hpp"
#include "decision_hash.hpp"
#include "generated_events.hpp"
#include "simulated_fleet.hpp"

namespace ivyreel::test {

class EventGenerator {
  public:
    explicit EventGenerator(const GeneratedCase& generated);

    GeneratedResult run();

  private:
    // A request from its arrival until its connection has ended.
    struct Request {
        RequestArrived arrival;
        EndpointId endpoint{};
        AttemptIndex attempt{};
        int attempts = 0;
        double load = 0.0;  // of its connection, microseconds of work per second
        bool attempting = false;
        bool connected = false;
    };

    // ---- event loop ----
    void schedule(Micros after, std::function<void()> step);
    void handle(const Event& event);
    void digestState();

    // ---- actions of the engine ----
    void execute(const SetTimer& action);
    void execute(const WatchEndpoints& action);
    void execute(const Log& /*action*/) {}
    void execute(const CancelAttempt& /*action*/) { ++counts_.cancellations; }
    void execute(const RejectRequest& action);
    void execute(const FailRequest& action);
    void execute(const MigrateConnection& action);
    void execute(const StartHealthCheck& action);
    void execute(const StartAttempt& action);
    void completeHealthCheck(EndpointId endpoint, Outcome outcome, Micros elapsed);

    // ---- requests and connections ----
    void generateArrival();
    RequestArrived randomRequest();
    void submit(const RequestArrived& arrival);
    void disconnect(RequestId id);
    void completeAttempt(RequestId id, bool timedOut, Micros elapsed);
    void establish(RequestId id, Micros elapsed);
    void endAttempt(RequestId id, Outcome outcome, Micros elapsed, bool requestEnded);
    void closeConnection(Request& request);
    void removeRequest(RequestId id);
    void resumeConnections();
    void generateMeasurement();
    void deliverInvalidEvents();
    double meanConnectionSeconds() const;
    std::optional<LoadReport> reportWithResponse(EndpointId endpoint);

    // ---- changes of the endpoint list, bans and settings ----
    void applyRandomChange();
    void changeEndpoint(SimulatedEndpoint& endpoint, std::uint64_t kind);
    void deliverEndpointList(EndpointListKind kind);
    void deliverEndpointList(const SimulatedEndpoint& endpoint);
    void restart(SimulatedEndpoint& endpoint);
    void setAvailability(SimulatedEndpoint& endpoint, Availability availability);
    void ban(const SimulatedEndpoint& endpoint);
    void listInvalidCapacity(SimulatedEndpoint& endpoint);
    void changeSettings();

    GeneratedCase case_;
    RandomSource random_;
    Settings settings_;
    SimulatedFleet fleet_;
    std::unique_ptr<DecisionEngine> engine_;
    DecisionHash hash_;
    ActionCounts counts_;
    Time now_{1'000'000};
    std::multimap<Time, std::function<void()>> scheduledSteps_;
    std::map<RequestId, Request> requests_;
    std::uint64_t lastRequestId_ = 0;
};

}  // namespace ivyreel::test
