// The ids of requests that are open or have ended recently, to detect duplicate ids.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>
#include <vector>

#include "io/scheduler.hpp"

namespace ivyreel {

// Counts the open requests, and keeps the id of each request for a while after the request has ended. A
// request is open from its opening line to the end of its connection. Every connection has a new id, so an
// opening line with a known id is a copy.
class RecentRequestIds {
  public:
    void open(std::uint64_t id);
    void close(std::uint64_t id, Time now);
    // Adds the ids of another node's requests as ended at `now`, including those of requests that are open at
    // the other node. Ids that are known already stay unchanged. If open() is called later for an id that was
    // added here, the id still expires like that of an ended request, even while its request is open.
    void addEnded(const std::vector<std::uint64_t>& ids, Time now);

    // Whether a request with this id is open or has ended recently; addEnded() describes an exception.
    // Removes expired ids.
    bool isKnown(std::uint64_t id, Time now);
    // All known ids, in unspecified order.
    std::vector<std::uint64_t> all() const { return {ids_.begin(), ids_.end()}; }
    // The number of open requests.
    std::size_t openCount() const { return openCount_; }

  private:
    struct EndedRequest {
        Time endedAt{0};
        std::uint64_t id = 0;
    };

    void removeExpired(Time now);

    std::size_t openCount_ = 0;
    std::unordered_set<std::uint64_t> ids_;  // known: of open requests, and of those in ended_
    std::deque<EndedRequest> ended_;         // requests that ended or were added recently, oldest first
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
