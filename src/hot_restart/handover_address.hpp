// The Unix socket file through which a successor finds a running node, and the node's listener on it.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "io/scheduler.hpp"
#include "io/socket.hpp"

namespace ivyreel {

// The location of a node's socket file, and the node's own addresses.
struct HandoverAddress {
    std::string directory;     // empty: hot restart is disabled
    std::string name;          // of the node
    std::string listen;        // where the node serves clients; a successor must have the same address
    std::string adminAddress;  // of the node's admin server; empty if it has none

    // The name of the socket file in the directory.
    std::string fileName() const;
};

// The Unix socket on which a node accepts connections of successors.
class HandoverListener {
  public:
    // Whether close() removes the socket file. After a handover the file belongs to the successor.
    enum class File { Keep, Remove };

    // `signal` is raised when connections arrive.
    HandoverListener(Signal& signal, HandoverAddress address)
        : signal_(signal), address_(std::move(address)) {}

    const HandoverAddress& address() const { return address_; }
    // Whether the listener is open.
    explicit operator bool() const { return static_cast<bool>(socket_); }
    // Replaces the socket file, if there is one, and listens on the new one. Returns false on failure; a
    // failed system call on the socket file is logged.
    bool open();
    // The descriptor of the next pending connection; none if no connection is pending or the listener is
    // closed.
    std::optional<int> accept();
    void close(File file);

  private:
    Signal& signal_;
    HandoverAddress address_;
    Socket socket_;
};

}  // namespace ivyreel
