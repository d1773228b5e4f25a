#include "simulator/event_decoder.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace ivyreel::simulator {

namespace {

// Bits of a request's flags byte. The other bits are ignored.
constexpr std::uint8_t kHasLoadHint = 1;
constexpr std::uint8_t kMidFlow = 8;
constexpr std::uint8_t kReconnecting = 16;

// The subject of a measurement of an open connection.
constexpr std::uint8_t kLoadMeasurement = 1;
constexpr std::uint8_t kDelayMeasurement = 2;

Outcome decodeOutcome(FrameReader& fields) {
    const std::uint8_t code = fields.u8();
    if (code > static_cast<std::uint8_t>(Outcome::NotSent))
        fields.throwError("unknown outcome code " + std::to_string(code));
    return static_cast<Outcome>(code);  // codes 0 to 7 are in the order of the enumerators
}

Availability decodeAvailability(FrameReader& fields) {
    const std::uint8_t code = fields.u8();
    switch (code) {
        case 0:
            return Availability::Gone;
        case 1:
            return Availability::Draining;
        case 3:
            return Availability::Ready;
        default:
            fields.throwError("unknown availability code " + std::to_string(code));
    }
}

Micros decodeDuration(FrameReader& fields) {
    return Micros{fields.u32()};
}

Time decodeTime(FrameReader& fields) {
    return Time{static_cast<Time::rep>(fields.u64())};
}

std::uint16_t decodeListNumber(FrameReader& fields) {
    const std::uint16_t number = fields.u16();
    if (number >= kMaxEndpointLists)
        fields.throwError("endpoint list number " + std::to_string(number) + " is out of range");
    return number;
}

EndpointEntry decodeEndpointEntry(FrameReader& fields) {
    EndpointEntry endpoint;
    endpoint.listedCapacity = static_cast<double>(fields.f32());
    endpoint.kind = KindIndex{fields.u16()};
    endpoint.id = fields.endpoint();
    endpoint.zone = ZoneIndex{fields.u16()};
    endpoint.availability = decodeAvailability(fields);
    endpoint.startedAt = decodeTime(fields);
    endpoint.cell = CellId{fields.u16()};
    return endpoint;
}

EndpointListChanged decodeListChange(FrameReader& fields, const EndpointLists& lists) {
    const std::uint8_t kind = fields.u8();
    if (kind > static_cast<std::uint8_t>(EndpointListKind::Failed))
        fields.throwError("unknown endpoint list kind " + std::to_string(kind));
    fields.u64();  // the version is not needed: lists arrive in order and without gaps
    EndpointListChanged event;
    event.kind = static_cast<EndpointListKind>(kind);  // codes 0 to 3 are in the order of the enumerators
    if (event.kind == EndpointListKind::Failed) {
        fields.u16();  // a list number that refers to no list
        return event;
    }
    event.endpoints = lists.at(decodeListNumber(fields));
    return event;
}

void setRequestFlags(RequestArrived& request, std::uint8_t flags, std::uint32_t loadHint) {
    if ((flags & kHasLoadHint) != 0) request.loadHint = static_cast<double>(loadHint);
    request.continuesFlow = (flags & kMidFlow) != 0;
    request.reconnecting = (flags & kReconnecting) != 0;
}

RequestArrived decodeRequest(FrameReader& fields) {
    RequestArrived event;
    event.request = RequestId{fields.u64()};
    event.group = GroupId{fields.u64()};
    const std::uint8_t flags = fields.u8();
    event.requestClass = RequestClassIndex{fields.u16()};
    event.flowKey = FlowKey{fields.u64()};
    event.tenant = TenantIndex{fields.u32()};
    const std::uint32_t loadHint = fields.u32();
    event.clientTimeout = decodeDuration(fields);
    setRequestFlags(event, flags, loadHint);
    return event;
}

ConnectionResumed decodeResumedConnection(FrameReader& fields) {
    ConnectionResumed event;
    event.request.request = RequestId{fields.u64()};
    const std::uint8_t flags = fields.u8();
    event.request.flowKey = FlowKey{fields.u64()};
    event.endpoint = fields.endpoint();
    event.request.requestClass = RequestClassIndex{fields.u16()};
    event.request.clientTimeout = decodeDuration(fields);
    event.request.tenant = TenantIndex{fields.u32()};
    const std::uint32_t loadHint = fields.u32();
    event.request.group = GroupId{fields.u64()};
    setRequestFlags(event.request, flags, loadHint);
    return event;
}

ConnectionEstablished decodeEstablishedConnection(FrameReader& fields) {
    ConnectionEstablished event;
    event.request = RequestId{fields.u64()};
    event.endpoint = fields.endpoint();
    event.elapsed = decodeDuration(fields);
    event.attempt = AttemptIndex{fields.u8()};
    return event;
}

Event decodeMeasurement(FrameReader& fields) {
    const RequestId request{fields.u64()};
    const auto value = static_cast<double>(fields.f32());
    const std::uint8_t subject = fields.u8();
    const EndpointId endpoint = fields.endpoint();
    fields.u8();  // the attempt is not needed: a request has at most one open connection
    switch (subject) {
        case kLoadMeasurement:
            return ConnectionLoadMeasured{request, endpoint, value};
        case kDelayMeasurement:
            return MessageDelayMeasured{request, endpoint, value};
        default:
            fields.throwError("unknown measurement subject " + std::to_string(subject));
    }
}

std::optional<LoadReport> decodeLoadReport(FrameReader& fields,
                                           const std::vector<ReportField>& reportFields) {
    const std::size_t count = fields.u8();
    if (count == 0) return std::nullopt;
    if (count > reportFields.size())
        fields.throwError("load report has " + std::to_string(count) +
                          " values, which is more than the settings name");
    LoadReport report;
    for (std::size_t i = 0; i < count; ++i) {
        setReportedValue(report, reportFields[i], static_cast<double>(fields.f32()));
    }
    return report;
}

AttemptEnded decodeEndedAttempt(FrameReader& fields, const std::vector<ReportField>& reportFields) {
    AttemptEnded event;
    event.request = RequestId{fields.u64()};
    event.attempt = AttemptIndex{fields.u8()};
    event.endpoint = fields.endpoint();
    event.outcome = decodeOutcome(fields);
    event.elapsed = decodeDuration(fields);
    event.requestEnded = fields.u8() != 0;
    event.report = decodeLoadReport(fields, reportFields);
    return event;
}

HealthCheckCompleted decodeHealthCheck(FrameReader& fields, const std::vector<ReportField>& reportFields) {
    HealthCheckCompleted event;
    event.elapsed = decodeDuration(fields);
    event.outcome = decodeOutcome(fields);
    event.endpoint = fields.endpoint();
    event.report = decodeLoadReport(fields, reportFields);
    return event;
}

}  // namespace

NodeSettings decodeNodeSettings(FrameReader& fields) {
    const std::uint64_t seed = fields.u64();
    const auto text = fields.bytes(fields.u32());
    NodeSettings node = parseSettings({reinterpret_cast<const char*>(text.data()), text.size()});
    node.settings.seed = seed;
    return node;
}

void decodeEndpointList(FrameReader& fields, EndpointLists& lists) {
    const std::uint16_t number = decodeListNumber(fields);
    const std::size_t count = fields.u32();
    if (count > fields.remaining() / kEndpointEntryBytes)
        fields.throwError("endpoint list of " + std::to_string(count) + " entries exceeds its record");
    std::vector<EndpointEntry> endpoints;
    endpoints.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        endpoints.push_back(decodeEndpointEntry(fields));
    }
    lists.at(number) = std::move(endpoints);
}

void skipPeerMessage(FrameReader& fields) {
    fields.u32();
    fields.bytes(fields.u16());
}

Event decodeEvent(EventCode code, FrameReader& fields, const EndpointLists& lists,
                  const std::vector<ReportField>& reportFields) {
    switch (code) {
        case EventCode::RosterChange:
            return decodeListChange(fields, lists);
        case EventCode::Query:
            return decodeRequest(fields);
        case EventCode::AckFirst:
            return decodeEstablishedConnection(fields);
        case EventCode::Answer:
            return decodeEndedAttempt(fields, reportFields);
        case EventCode::CancelledByClient:
            return ClientDisconnected{RequestId{fields.u64()}};
        case EventCode::Reminder:
            return TimerExpired{TimerToken{fields.u32()}};
        case EventCode::PingResult:
            return decodeHealthCheck(fields, reportFields);
        case EventCode::Resumed:
            return decodeResumedConnection(fields);
        case EventCode::Progress:
            return decodeMeasurement(fields);
        default:
            fields.throwError("not an event of a running node: code " +
                              std::to_string(static_cast<unsigned>(code)));
    }
}

}  // namespace ivyreel::simulator
