#include "proxy/proxy_server.hpp"

#include <spdlog/spdlog.h>

#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "protocol/keywords.hpp"
#include "protocol/line.hpp"

namespace ivyreel {

ProxyServer::ProxyServer(Scheduler& scheduler, RequestTracker& tracker, EndpointConnector& connector,
                         HealthChecker& healthChecker, Metrics& metrics, const Address& listen,
                         int inheritedListener, std::size_t descriptorLimit)
    : scheduler_(scheduler),
      tracker_(tracker),
      metrics_(metrics),
      sessionContext_{scheduler, tracker, connector, metrics, active_},
      responses_(metrics),
      predecessorRequestIds_(recentRequestIds_, scheduler),
      successorRequestIds_(recentRequestIds_, scheduler),
      unopened_(metrics),
      descriptors_(scheduler, healthChecker, unopened_, active_, descriptorLimit),
      openingReader_(scheduler, tracker, recentRequestIds_, metrics),
      acceptor_(scheduler, unopened_, descriptors_, metrics, listen, inheritedListener,
                [this](int descriptor) { startSession(descriptor); }),
      shutdown_(scheduler, tracker, active_, recentRequestIds_) {}

void ProxyServer::startSession(int descriptor) {
    scheduler_.spawn(serve(std::make_unique<ConnectionPair>(scheduler_, descriptor)));
}

Task<void> ProxyServer::serve(std::unique_ptr<ConnectionPair> owned) {
    ConnectionPair& connections = *owned;
    try {
        std::optional<UnopenedConnection> unopened{std::in_place, unopened_, connections};
        const std::optional<OpeningLine> opening = co_await openingReader_.read(connections);
        if (!opening) co_return;
        unopened.reset();
        connections.evicted = false;  // the opening line arrived before the eviction took effect
        ++metrics_.requests;
        const OpenRequest request{recentRequestIds_, scheduler_, opening->id()};
        RequestSession session{sessionContext_, connections, *opening};
        RequestClassMetrics& classMetrics =
            metrics_.classes[std::string(opening->value(opening_attribute::kRequestClass))];
        if (!opening->value(opening_attribute::kCurrentEndpoint).empty()) {
            co_await session.resume(classMetrics);
        } else if (descriptors_.admitsRequest()) {
            co_await session.serveNewRequest(classMetrics);
        } else {
            ++metrics_.outOfDescriptors;
            co_await responses_.sendBusy(connections, classMetrics, tracker_.defaultRetryAfter());
        }
    } catch (const std::exception& error) {
        spdlog::error("connection closed after an error: {}", error.what());
    }
}

void ProxyServer::adopt(const EstablishedConnection& connection) {
    ++metrics_.adopted;
    auto connections = std::make_unique<ConnectionPair>(scheduler_, connection.clientSocket);
    connections->upstream = Connection{Socket{connections->signal, connection.upstreamSocket}};
    scheduler_.spawn(serveAdopted(std::move(connections), connection));
}

Task<void> ProxyServer::serveAdopted(std::unique_ptr<ConnectionPair> owned,
                                     EstablishedConnection connection) {
    const auto opening = OpeningLine::parse(firstLine(connection.openingLine)->text);
    const OpenRequest request{recentRequestIds_, scheduler_, opening->id()};
    RequestSession session{sessionContext_, *owned, *opening};
    RequestAttributes attributes = session.attributes();
    if (connection.load) attributes.loadHint = connection.load;
    TrackedRequest trackedRequest{tracker_, *owned, attributes};
    tracker_.connectionResumed(trackedRequest, connection.endpoint);
    co_await session.relay(trackedRequest, connection.relay);
}

Task<void> ProxyServer::drain(Successor& successor, std::function<void()> drained) {
    shuttingDown_ = true;
    openingReader_.setAnsweringHealthChecks(false);
    return shutdown_.run(successor, std::move(drained));
}

}  // namespace ivyreel
