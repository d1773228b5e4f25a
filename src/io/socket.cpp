#include "io/socket.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <span>
#include <system_error>
#include <utility>

#include "util/number_parsing.hpp"

namespace ivyreel {

namespace {

constexpr int kListenBacklog = 1024;
constexpr std::size_t kMaxReadsPerReceive = 16;

[[noreturn]] void throwSystemError(const char* operation) {
    throw std::system_error(errno, std::generic_category(), operation);
}

int newSocket() {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) throwSystemError("socket");
    return descriptor;
}

void enableOption(int descriptor, int level, int option) {
    const int on = 1;
    ::setsockopt(descriptor, level, option, &on, sizeof on);
}

}  // namespace

std::optional<Address> Address::parse(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const std::string host(text.substr(0, colon));
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    Address address;
    if (!port || ::inet_pton(AF_INET, host.c_str(), &address.raw_.sin_addr) != 1) return std::nullopt;
    address.raw_.sin_family = AF_INET;
    address.raw_.sin_port = htons(*port);
    return address;
}

std::string Address::text() const {
    std::array<char, INET_ADDRSTRLEN> host{};
    ::inet_ntop(AF_INET, &raw_.sin_addr, host.data(), host.size());
    return std::string(host.data()) + ":" + std::to_string(ntohs(raw_.sin_port));
}

Socket::Socket(Signal& signal, int descriptor) : descriptor_(descriptor), scheduler_(&signal.scheduler()) {
    try {
        scheduler_->watch(descriptor, signal);
    } catch (...) {
        ::close(descriptor);
        throw;
    }
}

Socket::Socket(Socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), scheduler_(other.scheduler_) {}

Socket& Socket::operator=(Socket&& other) noexcept {
    if (this == &other) return *this;
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    scheduler_ = other.scheduler_;
    return *this;
}

Socket Socket::listenOn(Signal& signal, const Address& address, int inherited) {
    if (inherited >= 0) return Socket{signal, inherited};
    Socket socket{signal, newSocket()};
    enableOption(socket.descriptor_, SOL_SOCKET, SO_REUSEADDR);
    if (::bind(socket.descriptor_, reinterpret_cast<const sockaddr*>(&address.raw_), sizeof address.raw_) !=
        0)
        throwSystemError("bind");
    if (::listen(socket.descriptor_, kListenBacklog) != 0) throwSystemError("listen");
    return socket;
}

Socket Socket::connectTo(Signal& signal, const Address& address) {
    Socket socket{signal, newSocket()};
    enableOption(socket.descriptor_, IPPROTO_TCP, TCP_NODELAY);
    const auto* raw = reinterpret_cast<const sockaddr*>(&address.raw_);
    if (::connect(socket.descriptor_, raw, sizeof address.raw_) != 0 && errno != EINPROGRESS)
        throwSystemError("connect");
    return socket;
}

Socket::AcceptResult Socket::accept(int& descriptor) const {
    for (;;) {
        descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            enableOption(descriptor, IPPROTO_TCP, TCP_NODELAY);
            return AcceptResult::Accepted;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) return AcceptResult::WouldBlock;
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
            return AcceptResult::Exhausted;
        // Any other error concerns only the first pending connection, which has already failed: try the next.
    }
}

Address Socket::localAddress() const {
    Address address;
    socklen_t size = sizeof address.raw_;
    if (::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address.raw_), &size) != 0)
        throwSystemError("getsockname");
    return address;
}

Socket::ConnectState Socket::connectState() const {
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        return ConnectState::Failed;
    sockaddr_in peer{};
    size = sizeof peer;
    const bool connected = ::getpeername(descriptor_, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
    return connected ? ConnectState::Done : ConnectState::Pending;
}

bool Socket::isReset() const {
    pollfd state{descriptor_, 0, 0};
    return ::poll(&state, 1, 0) == 1 && (state.revents & POLLERR) != 0;
}

void Socket::shutdownSend() const {
    ::shutdown(descriptor_, SHUT_WR);
}

void Socket::reset() {
    if (descriptor_ < 0) return;
    const linger immediately{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    close();
}

int Socket::release() {
    scheduler_->unwatch(descriptor_);
    return std::exchange(descriptor_, -1);
}

void Socket::close() {
    if (descriptor_ < 0) return;
    ::close(std::exchange(descriptor_, -1));
    scheduler_->onWatchedDescriptorClosed();
}

bool Connection::receive() {
    bool received = false;
    for (std::size_t reads = 0; !inputEnded() && reads < kMaxReadsPerReceive; ++reads) {
        const std::span<char> space = input.freeSpace();
        if (space.empty()) break;
        const ssize_t count = ::recv(socket.descriptor(), space.data(), space.size(), 0);
        if (count > 0) {
            input.commit(static_cast<std::size_t>(count));
            received = true;
        } else if (count == 0) {
            ended = true;
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            break;
        } else if (errno != EINTR) {
            broken = true;
        }
    }
    return received;
}

void Connection::noticeReset() {
    if (socket.isReset()) broken = true;
}

bool Connection::sendFrom(Buffer& from, std::size_t& count) {
    std::size_t sent = 0;
    send(from.view().substr(0, count), sent);
    from.consume(sent);
    count -= sent;
    return sent > 0;
}

void Connection::send(std::string_view text, std::size_t& sent) {
    while (!broken && sent < text.size()) {
        const ssize_t count =
            ::send(socket.descriptor(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count >= 0) {
            sent += static_cast<std::size_t>(count);
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return;
        } else if (errno != EINTR) {
            broken = true;
        }
    }
}

}  // namespace ivyreel
