// A 64-bit FNV-1a hash over the fields of actions and learned state. Doubles are hashed by their bit
// patterns.
#pragma once

#include <bit>
#include <cstdint>
#include <string>
#include <type_traits>

#include "decision/decision_engine.hpp"

namespace ivyreel::test {

class DecisionHash {
  public:
    std::uint64_t value() const { return value_; }

    void add(std::uint64_t value) {
        for (int shift = 0; shift < 64; shift += 8) {
            value_ ^= (value >> shift) & 0xffU;
            value_ *= 0x100000001b3ULL;
        }
    }
    void add(double number) { add(std::bit_cast<std::uint64_t>(number)); }
    void add(bool flag) { add(std::uint64_t{flag ? 1U : 0U}); }
    void add(int number) { add(static_cast<std::uint64_t>(number)); }
    void add(Micros span) { add(static_cast<std::uint64_t>(span.count())); }
    void add(const std::string& text) {
        add(std::uint64_t{text.size()});
        for (const char character : text)
            add(static_cast<std::uint64_t>(character));
    }
    template <class Id>
    requires std::is_enum_v<Id>
    void add(Id id) { add(static_cast<std::uint64_t>(id)); }
    template <class... Fields>
    void addAll(const Fields&... fields) {
        (add(fields), ...);
    }

    // The first value identifies the type of the action, independently of its position in the variant.
    void add(const StartAttempt& a) { addAll(1, a.request, a.endpoint, a.timeout); }
    void add(const RejectRequest& a) { addAll(2, a.request, a.retryAfter); }
    void add(const FailRequest& a) { addAll(3, a.request); }
    void add(const CancelAttempt& a) { addAll(4, a.request, a.attempt); }
    void add(const MigrateConnection& a) { addAll(5, a.request); }
    void add(const StartHealthCheck& a) { addAll(6, a.endpoint); }
    void add(const WatchEndpoints& /*a*/) { add(7); }
    void add(const SetTimer& a) { addAll(8, a.after, a.token); }
    void add(const Log& a) { addAll(9, a.text); }

    void add(const LearnedState& learned) {
        const LearnedFleetState& fleet = learned.fleet.value();
        addAll(fleet.saturationThreshold, fleet.workSeconds, fleet.loadSeconds, fleet.connectionSeconds,
               fleet.arrivalRate, fleet.meanSetupMicros, fleet.typicalSetupMicros, fleet.typicalLoad);
        add(std::uint64_t{fleet.meanLoadByClass.size()});
        for (const double load : fleet.meanLoadByClass)
            add(load);
        add(std::uint64_t{learned.endpoints.size()});
        for (const LearnedState::EndpointRecord& record : learned.endpoints) {
            const LearnedEndpointState& endpoint = record.state;
            addAll(record.id, record.startedAt, endpoint.reported, endpoint.reportedAt, endpoint.utilisation,
                   endpoint.loadOverCapacity, endpoint.activeRequests, endpoint.slowdown,
                   endpoint.setupSlowdown);
            addAll(endpoint.roundTripMicros, endpoint.healthCheckFailures, endpoint.successRate,
                   endpoint.lastLateMessageAt, endpoint.slowStartSlotsUsedUntil, endpoint.nextMigrationAt);
        }
    }

  private:
    std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

}  // namespace ivyreel::test
