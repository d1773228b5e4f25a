#include "proxy/peer_request_ids.hpp"

namespace ivyreel {

void PeerRequestIds::add(std::uint64_t id) {
    if (held_.insert(id).second) ids_.hold(id);
}

void PeerRequestIds::remove(std::uint64_t id) {
    if (held_.erase(id) > 0) ids_.release(id, scheduler_.now());
}

void PeerRequestIds::clear() {
    for (const std::uint64_t id : held_) {
        ids_.release(id, scheduler_.now());
    }
    held_.clear();
}

}  // namespace ivyreel
