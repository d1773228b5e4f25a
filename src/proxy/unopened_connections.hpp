// The unopened downstream connections, which carry no request, and the eviction of the oldest of them.
#pragma once

#include <cstddef>
#include <list>

#include "admin/metrics.hpp"
#include "io/scheduler.hpp"
#include "proxy/connection_pair.hpp"

namespace ivyreel {

class UnopenedConnection;

// All connections whose opening line has not been read or was rejected. Their number is bounded, so that idle
// or misbehaving peers cannot exhaust the descriptors that requests need.
class UnopenedConnections {
  public:
    explicit UnopenedConnections(Metrics& metrics) : metrics_(metrics) {}

    std::size_t size() const { return connections_.size(); }

    // Evicts the oldest connection if there are at least `limit`. If the oldest connection is so new that its
    // opening line may not have been read yet, evicts none and returns when to call this again; otherwise
    // returns kNever.
    Time makeRoom(std::size_t limit, Time now);

  private:
    friend class UnopenedConnection;
    Metrics& metrics_;
    std::list<UnopenedConnection*> connections_;  // oldest first
};

// Registers a connection as unopened until the connection is evicted or this object is destroyed.
class UnopenedConnection {
  public:
    UnopenedConnection(UnopenedConnections& registry, ConnectionPair& connections);
    UnopenedConnection(const UnopenedConnection&) = delete;
    UnopenedConnection& operator=(const UnopenedConnection&) = delete;
    UnopenedConnection(UnopenedConnection&&) = delete;
    UnopenedConnection& operator=(UnopenedConnection&&) = delete;
    ~UnopenedConnection();

    Time acceptedAt() const { return acceptedAt_; }
    // Removes the connection from the registry and signals the owner to close the connection.
    void evict();

  private:
    std::list<UnopenedConnection*>& registry_;
    std::list<UnopenedConnection*>::iterator position_;
    ConnectionPair& connections_;
    Time acceptedAt_;
};

}  // namespace ivyreel
