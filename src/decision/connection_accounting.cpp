#include "decision/connection_accounting.hpp"

namespace ivyreel {
namespace {

// Counts the tenant and the group whatever the settings say about quotas and group affinity: the settings may
// change between the addition and the removal of a connection.
void countForTenantAndGroup(DecisionState& state, const Request& request, int change) {
    state.admission.changeConnections(request.arrival.tenant, change);
    if (request.arrival.group == GroupId{0}) return;
    state.groups.changeConnections(request.arrival.group, request.target.id, change);
}

}  // namespace

void addToConnectionCounts(DecisionState& state, const Request& request) {
    if (Endpoint* endpoint = state.endpoints.find(request.target.id)) addConnection(*endpoint, request.load);
    countForTenantAndGroup(state, request, 1);
}

void removeFromConnectionCounts(DecisionState& state, const Request& request) {
    if (Endpoint* endpoint = state.endpoints.find(request.target.id)) {
        removeConnection(*endpoint, request.arrival.request, request.load);
        state.fleet.removeSend(request.arrival.request);
    }
    countForTenantAndGroup(state, request, -1);
}

}  // namespace ivyreel
