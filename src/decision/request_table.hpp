// All requests that this node still serves, by id, and which of them have no connection.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "decision/request.hpp"
#include "decision/types.hpp"

namespace ivyreel {

class RequestTable {
  public:
    Request* find(RequestId id);
    const Request* find(RequestId id) const;
    Request& findOrAdd(RequestId id) { return requests_[id]; }
    void erase(RequestId id);

    void markConnected(RequestId id) { unconnected_.erase(id); }
    void markUnconnected(RequestId id) { unconnected_.insert(id); }
    bool hasUnconnected() const { return !unconnected_.empty(); }
    // Returns a copy, in the order of the ids, so that the caller may erase requests while iterating.
    std::vector<RequestId> unconnected() const { return {unconnected_.begin(), unconnected_.end()}; }

    auto begin() const { return requests_.begin(); }
    auto end() const { return requests_.end(); }

  private:
    std::map<RequestId, Request> requests_;
    // The ids of the requests whose `connected` is false, with or without an attempt outstanding. The caller
    // keeps both in agreement.
    std::set<RequestId> unconnected_;
};

}  // namespace ivyreel
