#include "hot_restart/handover_address.hpp"

#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cctype>
#include <cerrno>
#include <cstddef>
#include <cstdio>
#include <cstring>

#include "io/unix_socket.hpp"

namespace ivyreel {

namespace {

constexpr std::size_t kMaxFileStemChars = 60;  // leaves space for the directory in a socket address
constexpr int kListenBacklog = 4;

}  // namespace

std::string HandoverAddress::fileName() const {
    std::string result = "ivyreel-";
    for (const char c : name) {
        result.push_back(std::isalnum(static_cast<unsigned char>(c)) != 0 ? c : '_');
    }
    return result.substr(0, kMaxFileStemChars) + ".sock";
}

bool HandoverListener::open() {
    const UnixAddress address{address_.directory, address_.fileName()};
    const UnixAddress temporary{address_.directory, address_.fileName() + ".new"};
    if (!address.fits() || !temporary.fits()) return false;
    ::unlink(temporary.path());
    const int descriptor = newUnixSocket();
    if (descriptor < 0) return false;
    socket_ = Socket{signal_, descriptor};
    // The rename replaces the socket file of another process atomically, after this socket has begun to
    // listen.
    if (::bind(descriptor, temporary.address(), temporary.size()) == 0 &&
        ::chmod(temporary.path(), S_IRUSR | S_IWUSR) == 0 && ::listen(descriptor, kListenBacklog) == 0 &&
        ::rename(temporary.path(), address.path()) == 0)
        return true;
    spdlog::info("hot restart: disabled because the node cannot listen on a socket file in {}: {}",
                 address_.directory, std::strerror(errno));
    socket_.close();
    return false;
}

std::optional<int> HandoverListener::accept() {
    if (!socket_) return std::nullopt;
    int descriptor = -1;
    if (socket_.accept(descriptor) != Socket::AcceptResult::Accepted) return std::nullopt;
    return descriptor;
}

void HandoverListener::close(File file) {
    if (!socket_) return;
    socket_.close();
    if (file == File::Keep) return;
    const UnixAddress address{address_.directory, address_.fileName()};
    ::unlink(address.path());
}

}  // namespace ivyreel
