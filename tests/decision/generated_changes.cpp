// The part of the event generator that changes the endpoint list, the simulated endpoints, bans and settings.
#include <chrono>

#include "event_generator.hpp"

namespace ivyreel::test {
namespace {

using namespace std::chrono_literals;

// The recorded digests depend on the order of the enumerators.
enum class Change : std::uint64_t {
    Restart,
    RestartDuplicate,  // makes restarts twice as frequent as other changes
    Drain,
    Remove,
    StopResponding,
    Ban,
    Settings,
    CompleteList,
    InheritState,
    Slowness,
    LoadOfOtherNodes,
    FailedPoll,
    InvalidCapacity,
    Count,
};

}  // namespace

void EventGenerator::applyRandomChange() {
    schedule(micros(random_.between(0.0, 2.0 * case_.secondsPerChange)), [this] { applyRandomChange(); });
    if (settings_.discoveryMode == DiscoveryMode::Poll && random_.chance(0.4))
        return deliverEndpointList(EndpointListKind::Failed);
    SimulatedEndpoint& endpoint = fleet_.randomEndpoint();
    changeEndpoint(endpoint, random_.below(static_cast<std::uint64_t>(Change::Count)));
}

void EventGenerator::changeEndpoint(SimulatedEndpoint& endpoint, std::uint64_t kind) {
    switch (static_cast<Change>(kind)) {
        case Change::Restart:
        case Change::RestartDuplicate:
            return restart(endpoint);
        case Change::Drain:
            return setAvailability(endpoint, Availability::Draining);
        case Change::Remove:
            return setAvailability(endpoint, Availability::Gone);
        case Change::StopResponding:
            endpoint.unresponsiveUntil = now_ + micros(random_.between(0.5, 6.0));
            return;
        case Change::Ban:
            return ban(endpoint);
        case Change::Settings:
            return changeSettings();
        case Change::CompleteList:
            return deliverEndpointList(random_.chance(0.3) ? EndpointListKind::Cached
                                                           : EndpointListKind::Full);
        case Change::InheritState:
            return handle(LearnedStateInherited{engine_->learnedState(now_)});
        case Change::Slowness:
            endpoint.slowness = random_.chance(0.5) ? 1.0 : random_.between(1.0, 5.0);
            return;
        case Change::LoadOfOtherNodes:
            endpoint.loadOfOtherNodes = case_.targetLoad * random_.between(0.2, 1.6);
            return;
        case Change::FailedPoll:
            return deliverEndpointList(EndpointListKind::Failed);
        case Change::InvalidCapacity:
        case Change::Count:
            return listInvalidCapacity(endpoint);
    }
}

void EventGenerator::deliverEndpointList(EndpointListKind kind) {
    EndpointListChanged event{kind, {}};
    if (kind != EndpointListKind::Failed) event.endpoints = fleet_.entries();
    handle(event);
}

void EventGenerator::deliverEndpointList(const SimulatedEndpoint& endpoint) {
    handle(EndpointListChanged{EndpointListKind::Delta, {endpoint.entry}});
}

void EventGenerator::restart(SimulatedEndpoint& endpoint) {
    endpoint.entry.startedAt = now_ + (random_.chance(0.1) ? 300ms : 0ms);
    endpoint.entry.availability = Availability::Ready;
    deliverEndpointList(endpoint);
}

// Sets the availability for 0.5 s to 6 s; then the endpoint is ready again, in half of the cases after a
// restart.
void EventGenerator::setAvailability(SimulatedEndpoint& endpoint, Availability availability) {
    endpoint.entry.availability = availability;
    deliverEndpointList(endpoint);
    schedule(micros(random_.between(0.5, 6.0)), [this, id = endpoint.entry.id] {
        SimulatedEndpoint& returning = *fleet_.find(id);
        returning.entry.availability = Availability::Ready;
        if (random_.chance(0.5)) returning.entry.startedAt = now_;
        deliverEndpointList(returning);
    });
}

void EventGenerator::ban(const SimulatedEndpoint& endpoint) {
    handle(EndpointBanChanged{endpoint.entry.id, true});
    schedule(micros(random_.between(0.5, 5.0)), [this, id = endpoint.entry.id] {
        handle(EndpointBanChanged{id, false});
    });
}

void EventGenerator::listInvalidCapacity(SimulatedEndpoint& endpoint) {
    const double valid = endpoint.entry.listedCapacity;
    endpoint.entry.listedCapacity = random_.chance(0.3) ? kNaN : random_.chance(0.5) ? -1.0 : 0.0;
    deliverEndpointList(endpoint);
    endpoint.entry.listedCapacity = valid;
    deliverEndpointList(endpoint);
}

// Switches to the original settings or to a variant with another objective and other limits. Classes and
// tenants keep their indices.
void EventGenerator::changeSettings() {
    const std::uint64_t seed = settings_.seed;
    settings_ = case_.settings;
    settings_.seed = seed;
    if (random_.chance(0.5)) {
        settings_.availabilityWeight = random_.between(0.0, 0.5);
        settings_.limits.maxAttempts = 1 + static_cast<int>(random_.below(4));
        settings_.limits.canCancelAttempts = random_.chance(0.5);
        settings_.crossZoneCost = random_.between(0.0, 0.08);
    }
    handle(SettingsChanged{settings_});
}

}  // namespace ivyreel::test
