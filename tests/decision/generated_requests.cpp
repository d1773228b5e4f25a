// The part of the event generator that simulates clients and connections.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <iterator>

#include "event_generator.hpp"

namespace ivyreel::test {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kOutcomes = 8;  // number of values of Outcome
constexpr double kLongestMeanConnectionSeconds = 600.0;

// The factor of the arrival rate: a burst of 4 s every 20 s.
double burstFactor(Time now) {
    return std::fmod(std::chrono::duration<double>(now).count(), 20.0) < 4.0 ? 2.0 : 0.8;
}

}  // namespace

void EventGenerator::generateArrival() {
    submit(randomRequest());
    const double rate = case_.arrivalsPerSecond * burstFactor(now_);
    schedule(micros(-std::log(random_.next()) / rate), [this] { generateArrival(); });
}

// Some requests have an unknown class or tenant, or an invalid load hint.
RequestArrived EventGenerator::randomRequest() {
    RequestArrived request;
    request.request = RequestId{++lastRequestId_};
    request.requestClass = RequestClassIndex{
        static_cast<std::uint32_t>(random_.below(settings_.classes.size() + (random_.chance(0.02) ? 1 : 0)))};
    request.tenant = TenantIndex{
        static_cast<std::uint32_t>(random_.chance(0.6) ? 0 : random_.below(settings_.tenants.size() + 1))};
    if (random_.chance(0.7)) request.group = GroupId{1 + random_.below(8)};
    if (random_.chance(case_.distinctGroups)) request.group = GroupId{1'000 + lastRequestId_};
    if (random_.chance(0.5)) request.flowKey = FlowKey{1 + random_.below(20)};
    if (random_.chance(0.3)) request.loadHint = random_.between(5'000, 300'000);
    if (random_.chance(0.01)) request.loadHint = random_.chance(0.5) ? kNaN : -5.0;
    request.clientTimeout = micros(random_.between(0.1, 3.0));
    request.continuesFlow = random_.chance(0.05);
    request.reconnecting = random_.chance(0.2);
    return request;
}

void EventGenerator::submit(const RequestArrived& arrival) {
    requests_[arrival.request].arrival = arrival;
    requests_[arrival.request].load = kMeanConnectionLoad * random_.between(0.2, 1.8);
    handle(arrival);
    if (random_.chance(0.03))
        schedule(micros(random_.between(0.0, 0.2)), [this, id = arrival.request] { disconnect(id); });
}

void EventGenerator::disconnect(RequestId id) {
    if (!requests_.contains(id)) return;
    removeRequest(id);
    handle(ClientDisconnected{id});
}

void EventGenerator::execute(const StartAttempt& action) {
    ++counts_.attempts;
    const auto at = requests_.find(action.request);
    if (at == requests_.end()) return;
    Request& request = at->second;
    request.endpoint = action.endpoint;
    request.attempt = AttemptIndex{static_cast<std::uint8_t>(request.attempts++)};
    request.attempting = true;
    const SimulatedEndpoint* endpoint = fleet_.find(action.endpoint);
    const bool timedOut = endpoint == nullptr || now_ < endpoint->unresponsiveUntil;
    const double slowness = endpoint == nullptr ? 1.0 : endpoint->slowness;
    const Micros elapsed = timedOut ? action.timeout : micros(random_.between(0.002, 0.03) * slowness);
    const int attempts = request.attempts;
    schedule(elapsed, [this, id = action.request, attempts, timedOut, elapsed] {
        const auto found = requests_.find(id);
        if (found == requests_.end() || found->second.attempts != attempts) return;
        completeAttempt(id, timedOut, elapsed);
    });
}

void EventGenerator::completeAttempt(RequestId id, bool timedOut, Micros elapsed) {
    const bool valid = engine_->isAttemptStillValid(now_, id);
    hash_.add(valid);
    if (timedOut) return endAttempt(id, Outcome::Timeout, elapsed, false);
    if (!valid && random_.chance(0.5)) return endAttempt(id, Outcome::NotSent, elapsed, false);
    const SimulatedEndpoint* endpoint = fleet_.find(requests_.at(id).endpoint);
    if (endpoint != nullptr && random_.chance(endpoint->errorShare))
        return endAttempt(id, Outcome::Error, elapsed, false);
    if (random_.chance(0.12)) {
        const bool requestEnded = random_.chance(0.2);
        const Outcome outcome{static_cast<int>(random_.below(kOutcomes))};
        return endAttempt(id, outcome, elapsed, requestEnded);
    }
    establish(id, elapsed);
}

void EventGenerator::establish(RequestId id, Micros elapsed) {
    Request& request = requests_.at(id);
    request.attempting = false;
    request.connected = true;
    fleet_.addConnection(request.endpoint, request.load);
    const int attempts = request.attempts;
    handle(ConnectionEstablished{id, request.attempt, request.endpoint, elapsed});
    const Micros duration = micros(-std::log(random_.next()) * meanConnectionSeconds());
    schedule(duration, [this, id, attempts, elapsed] {
        const auto found = requests_.find(id);
        if (found == requests_.end() || found->second.attempts != attempts) return;
        const Outcome outcome =
            random_.chance(0.9) ? Outcome::Ok : Outcome{static_cast<int>(random_.below(kOutcomes))};
        endAttempt(id, outcome, elapsed, outcome == Outcome::Ok || random_.chance(0.5));
    });
}

double EventGenerator::meanConnectionSeconds() const {
    const double fleetLoad = case_.targetLoad * case_.capacityUnits * kMicrosPerSecond * case_.endpoints;
    return std::min(kLongestMeanConnectionSeconds,
                    fleetLoad / settings_.nodes / (case_.arrivalsPerSecond * kMeanConnectionLoad));
}

void EventGenerator::endAttempt(RequestId id, Outcome outcome, Micros elapsed, bool requestEnded) {
    Request& request = requests_.at(id);
    const AttemptEnded event{id,
                             request.attempt,
                             request.endpoint,
                             outcome,
                             elapsed,
                             requestEnded,
                             reportWithResponse(request.endpoint)};
    closeConnection(request);
    request.attempting = false;
    if (requestEnded) requests_.erase(id);
    handle(event);
}

std::optional<LoadReport> EventGenerator::reportWithResponse(EndpointId endpoint) {
    const bool reports = settings_.loadReportMode == LoadReportMode::WithResponses && random_.chance(0.8);
    return reports ? fleet_.report(endpoint) : std::nullopt;
}

void EventGenerator::closeConnection(Request& request) {
    if (!request.connected) return;
    request.connected = false;
    fleet_.removeConnection(request.endpoint, request.load);
}

void EventGenerator::removeRequest(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    closeConnection(at->second);
    requests_.erase(at);
}

// Adds connections that were open before the start; the engine is notified of some of them only.
void EventGenerator::resumeConnections() {
    for (std::uint64_t i = 0; i < 5; ++i) {
        Request request;
        request.arrival.request = RequestId{++lastRequestId_};
        request.arrival.group = GroupId{i};
        request.endpoint = EndpointId{1 + i % (case_.endpoints + 1)};
        request.load = kMeanConnectionLoad;
        request.attempts = 1;
        request.connected = true;
        fleet_.addConnection(request.endpoint, request.load);
        requests_[request.arrival.request] = request;
        if (random_.chance(0.3)) handle(ConnectionResumed{request.arrival, request.endpoint});
    }
}

// Delivers a measurement of the load or the message delay of a random connection.
void EventGenerator::generateMeasurement() {
    schedule(micros(random_.between(0.0, 4.0 / case_.arrivalsPerSecond)), [this] { generateMeasurement(); });
    if (random_.chance(0.02)) return deliverInvalidEvents();
    if (requests_.empty()) return;
    auto at = requests_.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(random_.below(requests_.size())));
    const auto& [id, request] = *at;
    if (!request.connected) return;
    if (random_.chance(0.4))
        return handle(ConnectionLoadMeasured{id, request.endpoint, request.load * random_.between(0.9, 1.1)});
    const double late = random_.chance(0.5) ? random_.between(51.0, 99.0) : random_.between(101.0, 300.0);
    handle(MessageDelayMeasured{id, request.endpoint,
                                random_.chance(case_.lateMessages) ? late : random_.between(1.0, 49.0)});
}

// Delivers events with unknown requests, unknown endpoints or invalid values.
void EventGenerator::deliverInvalidEvents() {
    const RequestId unknown{lastRequestId_ + 1'000'000};
    const RequestId some = requests_.empty() ? unknown : requests_.begin()->first;
    handle(ConnectionLoadMeasured{some, EndpointId{1}, random_.chance(0.5) ? kNaN : -7.0});
    handle(ConnectionLoadMeasured{some, EndpointId{1}, 3e6});
    handle(ConnectionLoadMeasured{unknown, EndpointId{1}, 5.0});
    handle(MessageDelayMeasured{some, EndpointId{99'999}, 500.0});
    handle(MessageDelayMeasured{some, EndpointId{1}, kNaN});
    handle(ConnectionEstablished{unknown, AttemptIndex{0}, EndpointId{1}, 5ms});
    handle(AttemptEnded{unknown, AttemptIndex{0}, EndpointId{99'999}, Outcome::Ok, 5ms, true, std::nullopt});
    handle(ClientDisconnected{unknown});
    handle(HealthCheckCompleted{EndpointId{99'999}, Outcome::Ok, 1ms, LoadReport{}});
}

}  // namespace ivyreel::test
