#include "requests/endpoint_directory.hpp"

#include <algorithm>

namespace ivyreel {

void EndpointDirectory::update(const EndpointListChanged& change) {
    if (change.kind == EndpointListKind::Full) {
        for (auto& [endpoint, state] : endpoints_) {
            state.availability = Availability::Gone;
        }
    }
    for (const EndpointEntry& entry : change.endpoints) {
        endpoints_[entry.id].availability = entry.availability;
    }
}

bool EndpointDirectory::isBanned(EndpointId endpoint) const {
    const auto found = endpoints_.find(endpoint);
    return found != endpoints_.end() && found->second.banned;
}

bool EndpointDirectory::isUsable(EndpointId endpoint) const {
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) return false;
    return found->second.availability == Availability::Ready && !found->second.banned;
}

std::size_t EndpointDirectory::listedCount() const {
    const auto isListed = [](const auto& entry) { return entry.second.availability != Availability::Gone; };
    return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), isListed));
}

std::vector<EndpointId> EndpointDirectory::all() const {
    std::vector<EndpointId> result;
    for (const auto& [endpoint, state] : endpoints_) {
        result.push_back(endpoint);
    }
    return result;
}

std::vector<EndpointId> EndpointDirectory::banned() const {
    std::vector<EndpointId> result;
    for (const auto& [endpoint, state] : endpoints_) {
        if (state.banned) result.push_back(endpoint);
    }
    return result;
}

}  // namespace ivyreel
