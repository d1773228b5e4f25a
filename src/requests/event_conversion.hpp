// Converts names from clients and from discovery to the ids and indices in the decision engine's events.
#pragma once

#include <string_view>
#include <vector>

#include "config/settings_parser.hpp"
#include "decision/events.hpp"
#include "requests/member_entry.hpp"
#include "requests/tracked_request.hpp"

namespace ivyreel {

// The id of an endpoint: a hash of its name, so that all nodes derive the same id.
EndpointId endpointIdOf(std::string_view name);

// Converts a request. An unknown class or tenant gets the index after the last known one. An empty tenant
// gets index 0, that of the first tenant.
RequestArrived toRequestArrived(RequestId request, const RequestAttributes& attributes,
                                const NodeSettings& settings);

// Converts a change of the endpoint list. Adds zones that the settings do not name to `settings.zoneNames`.
EndpointListChanged toEndpointListChanged(EndpointListKind kind, const std::vector<MemberEntry>& entries,
                                          NodeSettings& settings);

}  // namespace ivyreel
