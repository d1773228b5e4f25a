#include "requests/event_conversion.hpp"

#include <cstdint>

#include "requests/stable_indices.hpp"

namespace ivyreel {

namespace {

constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

// FNV-1a. Never returns 0, which means "no value" in the events.
std::uint64_t hashOf(std::string_view text) {
    std::uint64_t hash = kFnvOffsetBasis;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
    }
    return hash == 0 ? 1 : hash;
}

// Returns 0 for an empty text and for a text of zeros only: clients send "no value" in both forms.
std::uint64_t hashOrZero(std::string_view text) {
    const bool empty = text.find_first_not_of('0') == std::string_view::npos;
    return empty ? 0 : hashOf(text);
}

// Endpoints of different zones do not share their record of idempotency keys. Zones that the settings do not
// name therefore need distinct indices too.
ZoneIndex findOrAddZone(std::vector<std::string>& zoneNames, const std::string& zone) {
    const std::uint32_t index = indexOf(zoneNames, zone);
    if (index == zoneNames.size()) zoneNames.push_back(zone);
    return ZoneIndex{index};
}

EndpointEntry toEndpointEntry(const MemberEntry& entry, NodeSettings& settings) {
    EndpointEntry result;
    result.id = endpointIdOf(entry.name);
    result.zone = findOrAddZone(settings.zoneNames, entry.zone);
    result.kind = KindIndex{indexOf(settings.kindNames, entry.kind)};
    result.cell = CellId{entry.cell};
    result.listedCapacity = entry.weight;
    result.availability = entry.availability;
    result.startedAt = entry.startedAt;
    return result;
}

}  // namespace

EndpointId endpointIdOf(std::string_view name) {
    return EndpointId{hashOf(name)};
}

RequestArrived toRequestArrived(RequestId request, const RequestAttributes& attributes,
                                const NodeSettings& settings) {
    const std::string_view tenant = attributes.tenant;
    RequestArrived arrival;
    arrival.request = request;
    arrival.requestClass = RequestClassIndex{indexOf(settings.classNames, attributes.requestClass)};
    arrival.tenant = TenantIndex{tenant.empty() ? 0 : indexOf(settings.tenantNames, tenant)};
    arrival.group = GroupId{settings.settings.groupAffinity ? hashOrZero(attributes.group) : 0};
    arrival.flowKey = FlowKey{hashOrZero(attributes.key)};
    arrival.loadHint = attributes.loadHint;
    arrival.clientTimeout = attributes.clientTimeout;
    arrival.reconnecting = attributes.reconnecting;
    return arrival;
}

EndpointListChanged toEndpointListChanged(EndpointListKind kind, const std::vector<MemberEntry>& entries,
                                          NodeSettings& settings) {
    EndpointListChanged change{kind, {}};
    for (const MemberEntry& entry : entries) {
        change.endpoints.push_back(toEndpointEntry(entry, settings));
    }
    return change;
}

}  // namespace ivyreel
