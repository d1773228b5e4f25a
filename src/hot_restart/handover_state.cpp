#include "hot_restart/handover_state.hpp"

#include <chrono>
#include <concepts>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <type_traits>

namespace nlohmann {

template <>
struct adl_serializer<std::chrono::microseconds> {
    static void to_json(json& out, std::chrono::microseconds duration) { out = duration.count(); }
    static void from_json(const json& in, std::chrono::microseconds& duration) {
        duration = std::chrono::microseconds{in.get<std::chrono::microseconds::rep>()};
    }
};

// Endpoint ids use all 64 bits: the JSON library's own conversion of enumerations writes large ids as
// negative numbers.
template <>
struct adl_serializer<ivyreel::EndpointId> {
    static void to_json(json& out, ivyreel::EndpointId id) { out = static_cast<std::uint64_t>(id); }
    static void from_json(const json& in, ivyreel::EndpointId& id) {
        id = ivyreel::EndpointId{in.get<std::uint64_t>()};
    }
};

template <>
struct adl_serializer<ivyreel::MembershipUpdate> {
    static void to_json(json& out, const ivyreel::MembershipUpdate& update) {
        out = json::parse(update.text());
    }
    static void from_json(const json& in, ivyreel::MembershipUpdate& update) {
        update = ivyreel::MembershipUpdate::parse(in.dump());
    }
};

}  // namespace nlohmann

namespace ivyreel {

namespace {

using Json = nlohmann::json;

constexpr const char* kVersionKey = "estate";

// A record that is written (const) or read (not const).
template <class Actual, class Record>
concept PossiblyConst = std::same_as<std::remove_const_t<Actual>, Record>;

// One function per record pairs each key with its field, for both reading and writing. Other builds of the
// node read the keys if their kHandoverStateVersion is the same: a key stays the same when its field is
// renamed, and any other change of the keys needs a new version.

template <PossiblyConst<LearnedEndpointState> Record, class Visitor>
void visitFields(Record& endpoint, const Visitor& visit) {
    visit("reported", endpoint.reported);
    visit("reportedAt", endpoint.reportedAt);
    visit("utilisation", endpoint.utilisation);
    visit("load", endpoint.loadOverCapacity);
    visit("active", endpoint.activeRequests);
    visit("strain", endpoint.slowdown);
    visit("setup", endpoint.setupSlowdown);
    visit("wayUs", endpoint.roundTripMicros);
    visit("probeFailures", endpoint.healthCheckFailures);
    visit("trust", endpoint.successRate);
    visit("lateAt", endpoint.lastLateMessageAt);
    visit("coldNext", endpoint.slowStartSlotsUsedUntil);
    visit("moveNext", endpoint.nextMigrationAt);
}

template <PossiblyConst<LearnedState::EndpointRecord> Record, class Visitor>
void visitFields(Record& endpoint, const Visitor& visit) {
    visit("id", endpoint.id);
    visit("launched", endpoint.startedAt);
    visit("known", endpoint.state);
}

template <PossiblyConst<LearnedFleetState> Record, class Visitor>
void visitFields(Record& fleet, const Visitor& visit) {
    visit("knee", fleet.saturationThreshold);
    visit("work", fleet.workSeconds);
    visit("loads", fleet.loadSeconds);
    visit("seen", fleet.connectionSeconds);
    visit("rate", fleet.arrivalRate);
    visit("setupUs", fleet.meanSetupMicros);
    visit("usualSetup", fleet.typicalSetupMicros);
    visit("usualLoad", fleet.typicalLoad);
    visit("classLoad", fleet.meanLoadByClass);
}

template <PossiblyConst<HandoverState> Record, class Visitor>
void visitFields(Record& state, const Visitor& visit) {
    visit("console", state.adminAddress);
    visit("list", state.list);
    visit("fleet", state.learned.learnedState.fleet);
    visit("hosts", state.learned.learnedState.endpoints);
    visit("classes", state.learned.classNames);
    visit("listed", state.learned.listed);
    visit("banned", state.learned.banned);
    visit("ids", state.requestIds);
}

template <class T>
Json toJsonValue(const T& value) {
    return value;
}

template <class T>
Json toJsonValue(const std::optional<T>& value) {
    return value ? Json(*value) : Json();
}

template <class T>
void assignFrom(const Json& in, T& value) {
    value = in.get<T>();
}

template <class T>
void assignFrom(const Json& in, std::optional<T>& value) {
    value = in.get<T>();
}

template <class Record>
Json write(const Record& record) {
    Json out = Json::object();
    visitFields(record, [&out](const char* key, const auto& value) { out[key] = toJsonValue(value); });
    return out;
}

template <class Record>
void read(const Json& in, Record& record) {
    visitFields(record, [&in](const char* key, auto& value) { in.at(key).get_to(value); });
}

}  // namespace

// These functions are outside the unnamed namespace because the JSON library finds them by argument-dependent
// lookup.

static void to_json(Json& out, const LearnedEndpointState& endpoint) {
    out = write(endpoint);
}

static void from_json(const Json& in, LearnedEndpointState& endpoint) {
    read(in, endpoint);
}

static void to_json(Json& out, const LearnedState::EndpointRecord& endpoint) {
    out = write(endpoint);
}

static void from_json(const Json& in, LearnedState::EndpointRecord& endpoint) {
    read(in, endpoint);
}

static void to_json(Json& out, const LearnedFleetState& fleet) {
    out = write(fleet);
}

static void from_json(const Json& in, LearnedFleetState& fleet) {
    read(in, fleet);
}

std::string HandoverState::text() const {
    Json document = write(*this);
    document[kVersionKey] = kHandoverStateVersion;
    return document.dump();
}

// Returns the document if it has the version that this node reads.
static Json parseDocument(std::string_view text) {
    try {
        Json document = Json::parse(text);
        const int version = document.at(kVersionKey).get<int>();
        if (version != kHandoverStateVersion)
            throw HandoverError("handover state has version " + std::to_string(version) +
                                "; this node reads version " + std::to_string(kHandoverStateVersion));
        return document;
    } catch (const Json::exception& error) {
        throw HandoverError(std::string("malformed handover state: ") + error.what());
    }
}

ParsedHandoverState HandoverState::parse(std::string_view text) {
    const Json document = parseDocument(text);
    ParsedHandoverState result;
    visitFields(result.state, [&document, &result](const char* key, auto& section) {
        try {
            assignFrom(document.at(key), section);
        } catch (const std::exception& error) {
            result.invalidSections.push_back({key, error.what()});
        }
    });
    return result;
}

}  // namespace ivyreel
