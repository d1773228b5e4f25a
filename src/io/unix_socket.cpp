#include "io/unix_socket.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace ivyreel {

namespace {

constexpr std::size_t kMaxDescriptorsPerRead = 16;

// Appends the descriptors that a received message carries to the list.
void appendDescriptors(msghdr& message, std::vector<int>& descriptors) {
    for (cmsghdr* part = CMSG_FIRSTHDR(&message); part != nullptr; part = CMSG_NXTHDR(&message, part)) {
        if (part->cmsg_level != SOL_SOCKET || part->cmsg_type != SCM_RIGHTS) continue;
        std::vector<int> received((part->cmsg_len - CMSG_LEN(0)) / sizeof(int));
        std::memcpy(received.data(), CMSG_DATA(part), received.size() * sizeof(int));
        descriptors.insert(descriptors.end(), received.begin(), received.end());
    }
}

}  // namespace

UnixAddress::UnixAddress(const std::string& directory, const std::string& file) {
    std::string path = directory + "/" + file;
    if (path.size() >= sizeof raw_.sun_path) {
        directory_.emplace(::open(directory.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
        path = "/proc/self/fd/" + std::to_string(directory_->get()) + "/" + file;
    }
    raw_.sun_family = AF_UNIX;
    fits_ = path.size() < sizeof raw_.sun_path;
    if (fits_) std::memcpy(raw_.sun_path, path.c_str(), path.size() + 1);
}

int newUnixSocket() {
    return ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

bool isPeerSameUser(int socket) {
    ucred peer{};
    socklen_t size = sizeof peer;
    return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

ssize_t receiveWithDescriptors(int socket, std::span<char> buffer, std::vector<int>& descriptors) {
    alignas(cmsghdr) std::array<char, CMSG_SPACE(kMaxDescriptorsPerRead * sizeof(int))> control{};
    iovec part{buffer.data(), buffer.size()};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    const ssize_t count = ::recvmsg(socket, &message, MSG_CMSG_CLOEXEC);
    if (count > 0) appendDescriptors(message, descriptors);
    return count;
}

ssize_t sendWithDescriptors(int socket, std::string_view text, const std::vector<int>& descriptors) {
    alignas(cmsghdr) std::array<char, CMSG_SPACE(kMaxDescriptorsPerMessage * sizeof(int))> control{};
    const std::size_t bytes = std::min(descriptors.size(), kMaxDescriptorsPerMessage) * sizeof(int);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast): sendmsg only reads it
    iovec part{const_cast<char*>(text.data()), text.size()};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = CMSG_SPACE(bytes);
    cmsghdr* rights = CMSG_FIRSTHDR(&message);
    rights->cmsg_level = SOL_SOCKET;
    rights->cmsg_type = SCM_RIGHTS;
    rights->cmsg_len = CMSG_LEN(bytes);
    std::memcpy(CMSG_DATA(rights), descriptors.data(), bytes);
    return ::sendmsg(socket, &message, MSG_NOSIGNAL);
}

void closeAll(const std::vector<int>& descriptors) {
    for (const int descriptor : descriptors) {
        ::close(descriptor);
    }
}

}  // namespace ivyreel
