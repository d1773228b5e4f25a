#include "proxy/unopened_connections.hpp"

#include <chrono>

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

// Within this time the node has read an opening line that arrived together with the connection.
constexpr Micros kMinAgeForEviction = 10ms;

}  // namespace

Time UnopenedConnections::makeRoom(std::size_t limit, Time now) {
    if (connections_.size() < limit) return kNever;
    UnopenedConnection& oldest = *connections_.front();
    const Time evictableAt = oldest.acceptedAt() + kMinAgeForEviction;
    if (now < evictableAt) return evictableAt;
    ++metrics_.evicted;
    oldest.evict();
    return kNever;
}

UnopenedConnection::UnopenedConnection(UnopenedConnections& registry, ConnectionPair& connections)
    : registry_(registry.connections_),
      position_(registry_.insert(registry_.end(), this)),
      connections_(connections),
      acceptedAt_(connections.signal.scheduler().now()) {}

UnopenedConnection::~UnopenedConnection() {
    if (!connections_.evicted) registry_.erase(position_);
}

void UnopenedConnection::evict() {
    registry_.erase(position_);
    connections_.evicted = true;
    connections_.signal.raise();
}

}  // namespace ivyreel
