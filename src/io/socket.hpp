// Non-blocking TCP: addresses, sockets, and connections, which are sockets with an input buffer.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "io/buffer.hpp"
#include "io/scheduler.hpp"

namespace ivyreel {

// An IPv4 address and a port.
class Address {
  public:
    // Parses "127.0.0.1:8080".
    static std::optional<Address> parse(std::string_view text);

    const sockaddr_in& raw() const { return raw_; }
    std::string text() const;
    friend bool operator==(const Address& a, const Address& b) {
        return a.raw_.sin_addr.s_addr == b.raw_.sin_addr.s_addr && a.raw_.sin_port == b.raw_.sin_port;
    }

  private:
    friend class Socket;
    sockaddr_in raw_{};
};

// Owns a socket whose events raise a signal; closes it in the destructor.
class Socket {
  public:
    Socket() = default;
    // Takes the ownership of the descriptor, even if the constructor throws std::system_error.
    Socket(Signal& signal, int descriptor);
    Socket(Socket&& other) noexcept;
    Socket& operator=(Socket&& other) noexcept;
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    ~Socket() { close(); }

    // Returns a listening socket: the inherited descriptor if it is not -1, otherwise a new socket bound to
    // the address. Throws std::system_error.
    static Socket listenOn(Signal& signal, const Address& address, int inherited = -1);
    // Starts to connect; connectState() reports the progress. Throws std::system_error.
    static Socket connectTo(Signal& signal, const Address& address);

    // Accepts the next pending connection and stores its descriptor. Exhausted: the process or the system has
    // run out of descriptors or memory.
    enum class AcceptResult { Accepted, WouldBlock, Exhausted };
    AcceptResult accept(int& descriptor) const;

    explicit operator bool() const { return descriptor_ >= 0; }
    int descriptor() const { return descriptor_; }
    // The address that the socket is bound to. Throws std::system_error.
    Address localAddress() const;

    // The progress of a connection attempt.
    enum class ConnectState { Pending, Done, Failed };
    ConnectState connectState() const;

    // Whether the connection has been reset. Unlike a read, this also holds while unread input is left.
    bool isReset() const;

    // Stops watching the descriptor and transfers its ownership to the caller.
    int release();

    // Shuts down the sending side; the peer then reads an end of file.
    void shutdownSend() const;
    // Closes with a TCP reset.
    void reset();
    void close();

  private:
    int descriptor_ = -1;
    Scheduler* scheduler_ = nullptr;
};

// A socket with its input buffer.
class Connection {
  public:
    Connection() = default;
    explicit Connection(Socket owned) : socket(std::move(owned)) {}

    // Reads into the buffer until no more input is available, the buffer is full, or the maximum number of
    // reads per call is reached. Returns true if bytes were read.
    bool receive();
    // Marks the connection as broken if it has been reset, although unread input may be left.
    void noticeReset();
    // Sends the first `count` bytes of another connection's buffer. Removes the sent bytes from the buffer
    // and subtracts them from `count`. Returns true if bytes were sent.
    bool sendFrom(Buffer& from, std::size_t& count);
    // Sends the text from position `sent` on, as far as the socket accepts it, and advances `sent`.
    void send(std::string_view text, std::size_t& sent);

    // Whether no further bytes will arrive.
    bool inputEnded() const { return ended || broken; }

    Socket socket;
    Buffer input;
    bool ended = false;   // the peer has shut down its sending side
    bool broken = false;  // the connection failed: nothing more can be sent
};

}  // namespace ivyreel
