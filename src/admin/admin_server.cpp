#include "admin/admin_server.hpp"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <chrono>
#include <exception>
#include <string>
#include <system_error>
#include <utility>

#include "protocol/http.hpp"

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

constexpr Micros kSessionTimeout = 5s;         // from the accept to the end of the response
constexpr Micros kExhaustedRetryDelay = 50ms;  // when accept() reports AcceptResult::Exhausted

}  // namespace

// One connection of an operator.
struct AdminServer::Session {
    Session(Scheduler& scheduler, int descriptor)
        : signal(scheduler), connection(Socket{signal, descriptor}) {}

    // Reads more of the request. Returns true once the response is available.
    bool receiveRequest(AdminDelegate& node);
    // Sends more of the response.
    void sendResponse();
    // Whether the connection has failed, or the client has closed its side and no response is left to send.
    bool finished() const;

    Signal signal;
    Connection connection;
    HttpRequestParser request;
    std::string requestBody;  // ignored
    std::string response;
    std::size_t sent = 0;
    bool responseSent = false;
    bool evicted = false;
};

bool AdminServer::Session::receiveRequest(AdminDelegate& node) {
    if (connection.receive()) signal.raise();  // more input may be available
    if (!response.empty()) return true;
    try {
        request.consume(connection.input, requestBody);
        if (request.complete())
            response = serialize(handleAdminRequest(node, request.method(), request.target()));
    } catch (const std::exception& error) {
        response = serialize({400, std::string(error.what()) + "\n"});
    }
    return !response.empty();
}

void AdminServer::Session::sendResponse() {
    // Closing a socket with unread input would reset the connection, and the client could lose the response.
    connection.input.consume(connection.input.size());
    connection.send(response, sent);
    const bool complete = sent == response.size();
    if (complete && !std::exchange(responseSent, true)) connection.socket.shutdownSend();
}

bool AdminServer::Session::finished() const {
    const bool nothingToSend = response.empty() || responseSent;
    return connection.broken || (connection.ended && nothingToSend);
}

AdminServer::AdminServer(Scheduler& scheduler, AdminDelegate& node, const Address& listen,
                         int inheritedListener)
    : scheduler_(scheduler),
      node_(node),
      signal_(scheduler),
      listener_(Socket::listenOn(signal_, listen, inheritedListener)) {}

void AdminServer::setAccepting(bool accepting) {
    accepting_ = accepting;
    signal_.raise();
}

Task<void> AdminServer::accept() {
    for (;;) {
        const Time retryAt = acceptPending();
        co_await signal_.wait(retryAt);
    }
}

Time AdminServer::acceptPending() {
    while (accepting_) {
        if (sessions_.size() >= kMaxSessions) {
            evictOldestSession();
            return kNever;
        }
        int descriptor = -1;
        const Socket::AcceptResult result = listener_.accept(descriptor);
        if (result == Socket::AcceptResult::Exhausted) return scheduler_.now() + kExhaustedRetryDelay;
        if (result == Socket::AcceptResult::WouldBlock) return kNever;
        startSession(descriptor);
    }
    return kNever;
}

void AdminServer::startSession(int descriptor) {
    try {
        scheduler_.spawn(serve(std::make_unique<Session>(scheduler_, descriptor)));
    } catch (const std::system_error& error) {
        spdlog::error("cannot serve an admin connection: {}", error.what());
    }
}

// Evicts only one session per round of the scheduler, so that each session runs at least once before it can
// be evicted.
void AdminServer::evictOldestSession() {
    sessions_.front()->evicted = true;
    sessions_.front()->signal.raise();
    signal_.raise();
}

Task<void> AdminServer::serve(std::unique_ptr<Session> owned) {
    Session& session = *owned;
    const auto position = sessions_.insert(sessions_.end(), &session);
    const Time deadline = scheduler_.now() + kSessionTimeout;
    for (;;) {
        if (session.receiveRequest(node_)) session.sendResponse();
        if (session.finished() || session.evicted || scheduler_.now() >= deadline) break;
        co_await session.signal.wait(deadline);
    }
    sessions_.erase(position);
}

}  // namespace ivyreel
