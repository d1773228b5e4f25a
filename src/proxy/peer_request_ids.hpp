// The request ids that the other process of a hot restart uses.
#pragma once

#include <cstdint>
#include <unordered_set>

#include "io/scheduler.hpp"
#include "proxy/recent_request_ids.hpp"

namespace ivyreel {

// Keeps the ids of a peer process known at this node for as long as the peer may use them. The number of ids
// is limited by the peer's own number of open and recent requests.
class PeerRequestIds {
  public:
    PeerRequestIds(RecentRequestIds& ids, const Scheduler& scheduler) : ids_(ids), scheduler_(scheduler) {}

    // The peer uses this id, or has used it recently. An id that is here already stays unchanged.
    void add(std::uint64_t id);
    // The last request of the peer with this id has ended. An id that is not here is ignored.
    void remove(std::uint64_t id);
    // The peer has exited: none of its requests is open any more.
    void clear();

  private:
    RecentRequestIds& ids_;
    const Scheduler& scheduler_;
    std::unordered_set<std::uint64_t> held_;
};

}  // namespace ivyreel
