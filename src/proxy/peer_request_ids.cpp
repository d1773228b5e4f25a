#include "proxy/peer_request_ids.hpp"

namespace ivyreel {

void PeerRequestIds::add(const std::vector<std::uint64_t>& ids) {
    for (const std::uint64_t id : ids) {
        if (held_.insert(id).second) ids_.hold(id);
    }
}

void PeerRequestIds::clear() {
    for (const std::uint64_t id : held_) {
        ids_.release(id, scheduler_.now());
    }
    held_.clear();
}

}  // namespace ivyreel
