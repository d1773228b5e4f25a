#include "hot_restart/handover.hpp"

#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>

#include "io/unique_descriptor.hpp"
#include "io/unix_socket.hpp"

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

constexpr Micros kRequestTimeout = 2s;     // for a successor to send its request after it connects
constexpr Micros kReportInterval = 100ms;  // between reports of the number of open descriptors

}  // namespace

// The link to one peer node and the state of that peer. It is in Handover::sessions_ throughout its lifetime.
struct Handover::Session {
    Session(Handover& handover, int descriptor, HandoverPeer role, HandoverMessageReader reader = {})
        : sessions(handover.sessions_), link(handover.scheduler_, descriptor, std::move(reader)), peer(role) {
        position = sessions.insert(sessions.end(), this);
    }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;
    Session(Session&&) = delete;
    Session& operator=(Session&&) = delete;
    ~Session() { sessions.erase(position); }

    void send(std::string line, std::vector<int> descriptors = {}) {
        link.queue(std::move(line), std::move(descriptors));
        link.signal().raise();
    }

    std::list<Session*>& sessions;
    std::list<Session*>::iterator position;
    HandoverLink link;
    HandoverPeer peer;
    std::string adminAddress;             // of a successor's admin server
    bool successorIsServing = false;      // the peer has sent its ServingNotice
    std::size_t reportedDescriptors = 0;  // the last count that was sent to a successor
};

Handover::Handover(Scheduler& scheduler, HandoverDelegate& delegate, HandoverAddress address)
    : scheduler_(scheduler),
      delegate_(delegate),
      signal_(scheduler),
      listener_(signal_, std::move(address)) {}

bool Handover::open() {
    if (listener_.address().directory.empty()) return false;
    return listener_ || listener_.open();
}

Task<void> Handover::listen() {
    for (;;) {
        if (!stateHandedOver_ && !open()) co_return;
        acceptSuccessors();
        co_await signal_.wait();
    }
}

void Handover::acceptSuccessors() {
    while (const std::optional<int> descriptor = listener_.accept()) {
        if (stateHandedOver_ || !isPeerSameUser(*descriptor)) {
            ::close(*descriptor);
            continue;
        }
        try {
            scheduler_.spawn(serveSuccessor(*descriptor));
        } catch (const std::exception& error) {
            spdlog::warn("hot restart: cannot serve a successor: {}", error.what());
        }
    }
}

void Handover::stopListening() {
    // A successor that has the state has replaced the socket file with its own.
    listener_.close(stateHandedOver_ ? HandoverListener::File::Keep : HandoverListener::File::Remove);
}

// ---- as predecessor ----

Task<void> Handover::serveSuccessor(int descriptor) {
    Session session{*this, descriptor, HandoverPeer::Successor};
    const std::optional<std::string> line = co_await receiveRequest(session.link);
    if (!line) co_return;
    const std::optional<HandoverRequest> request = HandoverRequest::parse(*line);
    if (!request || !isAcceptable(*request)) {
        spdlog::warn(
            "hot restart: rejected a handover request that is malformed, has another protocol version or "
            "listen address, or comes after another successor has received the state");
        co_return;
    }
    stateHandedOver_ = true;
    session.adminAddress = request->adminAddress;
    sendState(session);
    spdlog::info("hot restart: this node has handed over its state to the successor");
    co_await exchangeMessages(session);
    stateHandedOver_ = false;
    delegate_.onLinkClosed(HandoverPeer::Successor);
    if (session.successorIsServing) resumeServing(session);
    signal_.raise();
}

// Returns the first line on the link; none if the peer closes the link or sends no line before the timeout.
Task<std::optional<std::string>> Handover::receiveRequest(HandoverLink& link) {
    const Time deadline = scheduler_.now() + kRequestTimeout;
    for (;;) {
        link.receive();
        std::optional<std::string> line = link.nextMessage();
        if (line || link.ended() || link.overflowed() || scheduler_.now() >= deadline) co_return line;
        co_await link.signal().wait(deadline);
    }
}

bool Handover::isAcceptable(const HandoverRequest& request) const {
    return !stateHandedOver_ && request.listen == listener_.address().listen;
}

// The successor reads the first line as the state. Notices that were queued while its request was awaited
// follow the state.
void Handover::sendState(Session& session) {
    std::string line = delegate_.handoverState() + "\n";
    std::vector<int> listeners;
    for (const int listener : delegate_.listeners()) {
        listeners.push_back(::fcntl(listener, F_DUPFD_CLOEXEC, 0));
    }
    session.link.queueFirst(std::move(line), std::move(listeners));
}

void Handover::resumeServing(const Session& session) {
    spdlog::warn("hot restart: the link to the successor is closed; this node resumes serving");
    delegate_.onSuccessorServing(false, session.adminAddress);
}

void Handover::reportDescriptors(Session& session) {
    const std::size_t count = delegate_.openDescriptorCount();
    if (count == session.reportedDescriptors) return;
    session.reportedDescriptors = count;
    session.link.queue(encode(DescriptorCount{count}));
}

Handover::Session* Handover::servingSuccessor() const {
    const auto found = std::find_if(sessions_.begin(), sessions_.end(),
                                    [](const Session* session) { return session->successorIsServing; });
    return found == sessions_.end() ? nullptr : *found;
}

bool Handover::isServing() const {
    return servingSuccessor() != nullptr;
}

void Handover::transferConnection(const EstablishedConnection& connection) {
    const std::vector<int> sockets{connection.clientSocket, connection.upstreamSocket};
    if (Session* successor = servingSuccessor())
        successor->send(encode(connection), sockets);
    else
        closeAll(sockets);
}

// ---- as successor ----

Task<void> Handover::exchangeWithPredecessor(int descriptor, HandoverMessageReader reader) {
    Session session{*this, descriptor, HandoverPeer::Predecessor, std::move(reader)};
    if (serving_) session.link.queue(encode(ServingNotice{}));  // serve() ran before this session was listed
    co_await exchangeMessages(session);
    spdlog::info("hot restart: the link to the predecessor is closed");
    delegate_.onLinkClosed(HandoverPeer::Predecessor);
}

void Handover::notifyServing() {
    serving_ = true;
    broadcast(encode(ServingNotice{}));
}

// ---- messages, in both roles ----

// Sends and handles messages until the peer closes the link or sends an overlong message.
Task<void> Handover::exchangeMessages(Session& session) {
    HandoverLink& link = session.link;
    const bool reports = session.peer == HandoverPeer::Successor;
    for (;;) {
        link.receive();
        while (const std::optional<std::string> line = link.nextMessage()) {
            handle(session, *line);
        }
        if (reports) reportDescriptors(session);
        link.flush();
        if (link.ended() || link.overflowed()) co_return;
        co_await link.signal().wait(reports ? scheduler_.now() + kReportInterval : kNever);
    }
}

void Handover::broadcast(const std::string& line, const Session* except) {
    for (Session* session : sessions_) {
        if (session != except) session->send(line);
    }
}

void Handover::notifyBan(EndpointId endpoint, bool banned) {
    broadcast(encode(BanNotice{endpoint, banned}));
}

void Handover::notifyRequest(std::uint64_t id, bool open) {
    if (!sessions_.empty()) broadcast(encode(RequestNotice{id, open}));
}

void Handover::notifyReload() {
    broadcast(encode(ReloadNotice{}));
}

void Handover::handle(Session& session, const std::string& line) {
    try {
        std::visit(
            [this, &session](const auto& message) {
                using Message = std::decay_t<decltype(message)>;
                if constexpr (!std::is_same_v<Message, std::monostate>) handle(session, message);
            },
            parseMessage(line));
    } catch (const std::exception& error) {
        spdlog::warn("hot restart: ignored an invalid message from the other node: {}", error.what());
    }
}

void Handover::handle(Session& session, const ServingNotice& /*notice*/) {
    if (session.peer != HandoverPeer::Successor) return;
    session.successorIsServing = true;
    stopListening();
    delegate_.onSuccessorServing(true, session.adminAddress);
}

void Handover::handle(Session& session, const DescriptorCount& count) {
    if (session.peer == HandoverPeer::Predecessor) delegate_.onPredecessorDescriptorCount(count.count);
}

void Handover::handle(Session& session, const BanNotice& notice) {
    delegate_.onBanChanged(notice.endpoint, notice.banned);
    broadcast(encode(notice), &session);
}

// A notice of the predecessor is not passed on to a successor of this node: that successor receives all ids
// that this node knows with the state, and the predecessor accepts no more connections by then.
void Handover::handle(Session& session, const RequestNotice& notice) {
    delegate_.onPeerRequest(session.peer, notice);
}

void Handover::handle(Session& session, const ReloadNotice& notice) {
    delegate_.onReload();
    broadcast(encode(notice), &session);
}

// Takes the descriptors before it parses the content: an invalid transfer that left its descriptors on the
// link would have them assigned to the next transfer.
void Handover::handle(Session& session, const ConnectionTransfer& transfer) {
    if (session.peer != HandoverPeer::Predecessor) return;
    UniqueDescriptor client{session.link.takeDescriptor()};
    UniqueDescriptor endpoint{session.link.takeDescriptor()};
    EstablishedConnection connection = transfer.parse();
    connection.clientSocket = client.release();
    connection.upstreamSocket = endpoint.release();
    delegate_.adopt(connection);
}

}  // namespace ivyreel
