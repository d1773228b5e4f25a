#include "decision/endpoint.hpp"

#include <algorithm>

namespace ivyreel {

void addConnection(Endpoint& endpoint, double load) {
    ++endpoint.connectionsFromThisNode;
    endpoint.loadFromThisNode =
        endpoint.connectionsFromThisNode > 0 ? std::max(0.0, endpoint.loadFromThisNode + load) : 0.0;
}

void removeConnection(Endpoint& endpoint, RequestId request, double load) {
    --endpoint.connectionsFromThisNode;
    std::erase_if(endpoint.recentSends,
                  [request](const RecentSend& send) { return send.request == request; });
    endpoint.loadFromThisNode =
        endpoint.connectionsFromThisNode > 0 ? std::max(0.0, endpoint.loadFromThisNode - load) : 0.0;
}

}  // namespace ivyreel
