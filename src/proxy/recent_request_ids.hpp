// The ids of requests that are open or have ended recently, to detect duplicate ids.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "io/scheduler.hpp"

namespace ivyreel {

// Counts the open requests of this node, and keeps the id of each request until 10 s after the request has
// ended. Of ended requests it keeps the latest 131,072, which take about 10 MB. A request is open from its
// opening line to the end of its connection. Every connection has a new id, so an opening line with a known
// id is a copy.
//
// Invariant: an id that is in use never expires, whether a request of this node uses it or a request of the
// other process of a hot restart (peer_request_ids.hpp).
class RecentRequestIds {
  public:
    // Called when this node begins to use an id and when its last request with the id has ended.
    using Observer = std::function<void(std::uint64_t id, bool open)>;

    void setObserver(Observer observer) { observer_ = std::move(observer); }

    // A request of this node has opened or ended.
    void open(std::uint64_t id);
    void close(std::uint64_t id, Time now);
    // Begins and ends the use of an id by another process. Every hold() needs one release().
    void hold(std::uint64_t id);
    void release(std::uint64_t id, Time now);

    // Whether the id is in use or has been in use recently. Removes expired ids.
    bool isKnown(std::uint64_t id, Time now);
    // All known ids, in unspecified order.
    std::vector<std::uint64_t> all() const;
    // The number of open requests of this node.
    std::size_t openCount() const { return openCount_; }

  private:
    struct Usage {
        std::size_t openRequests = 0;  // of this node
        std::size_t holds = 0;         // of other processes
        Time endedAt{0};               // when the last user ended; meaningless while there is one

        bool inUse() const { return openRequests + holds > 0; }
    };
    struct EndedId {
        Time endedAt{0};
        std::uint64_t id = 0;
    };

    void retainIfEnded(std::uint64_t id, Usage& usage, Time now);
    void removeExpired(Time now);
    void remove(const EndedId& ended);

    Observer observer_;
    std::size_t openCount_ = 0;
    std::unordered_map<std::uint64_t, Usage> usages_;  // of all known ids
    std::deque<EndedId> ended_;  // oldest first; an entry is obsolete if its id is in use again
};

// Marks a request as open from the construction to the destruction of this object.
class OpenRequest {
  public:
    OpenRequest(RecentRequestIds& ids, const Scheduler& scheduler, std::uint64_t id)
        : ids_(ids), scheduler_(scheduler), id_(id) {
        ids_.open(id_);
    }
    OpenRequest(const OpenRequest&) = delete;
    OpenRequest& operator=(const OpenRequest&) = delete;
    OpenRequest(OpenRequest&&) = delete;
    OpenRequest& operator=(OpenRequest&&) = delete;
    ~OpenRequest() { ids_.close(id_, scheduler_.now()); }

  private:
    RecentRequestIds& ids_;
    const Scheduler& scheduler_;
    std::uint64_t id_;
};

}  // namespace ivyreel
