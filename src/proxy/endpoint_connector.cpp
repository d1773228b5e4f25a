#include "proxy/endpoint_connector.hpp"

namespace ivyreel {

std::optional<Address> EndpointConnector::addressOf(EndpointId endpoint) const {
    const auto entry = addresses_.find(endpoint);
    return entry == addresses_.end() ? std::nullopt : std::optional(entry->second);
}

Task<AttemptResult> EndpointConnector::attempt(ConnectionPair& connections,
                                               const TrackedRequest& trackedRequest,
                                               const OpeningLine& opening, AttemptTarget target,
                                               RequestClassMetrics& classMetrics) {
    ConnectionAttempt attempt{*this,          tracker_, metrics_, connections,
                              trackedRequest, opening,  target,   classMetrics};
    if (const auto result = attempt.start()) co_return *result;
    for (;;) {
        if (const auto result = attempt.poll()) co_return *result;
        co_await connections.signal.wait(attempt.deadline());
    }
}

}  // namespace ivyreel
