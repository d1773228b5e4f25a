// Unix domain sockets: addresses in the file system, the peer's user, and messages that carry descriptors.
#pragma once

#include <sys/socket.h>
#include <sys/types.h>
#include <sys/un.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "io/unique_descriptor.hpp"

namespace ivyreel {

// The maximum number of descriptors that are sent with one message.
constexpr std::size_t kMaxDescriptorsPerMessage = 2;

// The address of a socket file. If the path is too long for a socket address, the address refers to the file
// through a descriptor of its directory, which this object owns: the address is valid only during its
// lifetime.
class UnixAddress {
  public:
    UnixAddress(const std::string& directory, const std::string& file);

    // Whether the path fits into a socket address. If it does not, the other functions must not be used.
    bool fits() const { return fits_; }
    const sockaddr* address() const { return reinterpret_cast<const sockaddr*>(&raw_); }
    socklen_t size() const { return sizeof raw_; }
    // The path of the socket file as the address has it.
    const char* path() const { return raw_.sun_path; }

  private:
    sockaddr_un raw_{};
    bool fits_ = false;
    std::optional<UniqueDescriptor> directory_;
};

// Creates a non-blocking stream socket. Returns -1 and sets errno on failure.
int newUnixSocket();

// Whether the effective user of the peer process is that of this process.
bool isPeerSameUser(int socket);

// Reads into a buffer, and appends the descriptors that arrive with the bytes to the list; the caller owns
// them. Returns the result of recvmsg.
ssize_t receiveWithDescriptors(int socket, std::span<char> buffer, std::vector<int>& descriptors);

// Sends as much of the text as the socket accepts, with the descriptors, which stay open in this process.
// Returns the result of sendmsg.
ssize_t sendWithDescriptors(int socket, std::string_view text, const std::vector<int>& descriptors);

// Closes all descriptors of the list.
void closeAll(const std::vector<int>& descriptors);

}  // namespace ivyreel
