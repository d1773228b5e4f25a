// The link between predecessor and successor: lines of text, some of which carry file descriptors.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "hot_restart/handover_error.hpp"
#include "hot_restart/handover_message_reader.hpp"
#include "io/scheduler.hpp"
#include "io/socket.hpp"

namespace ivyreel {

// One end of the link. It owns the descriptors that are queued to be sent.
class HandoverLink {
  public:
    // Takes the ownership of the descriptor. `reader` may hold input of the link that was received before.
    HandoverLink(Scheduler& scheduler, int descriptor, HandoverMessageReader reader = {});
    HandoverLink(const HandoverLink&) = delete;
    HandoverLink& operator=(const HandoverLink&) = delete;
    HandoverLink(HandoverLink&&) = delete;
    HandoverLink& operator=(HandoverLink&&) = delete;
    ~HandoverLink();

    // Raised when data has arrived or more can be sent.
    Signal& signal() { return signal_; }
    // Whether the peer has closed the link, or the link failed.
    bool ended() const { return connection_.inputEnded(); }
    // Whether the received data has reached the maximum size of a message; receive() then reads no more.
    bool overflowed() const;

    // Reads what has arrived, until it overflows.
    void receive();
    // Takes the next complete message, without its line end; none if there is none.
    std::optional<std::string> nextMessage() { return reader_.nextMessage(); }
    // Takes the next received descriptor. Throws HandoverError if there is none.
    int takeDescriptor();

    // Queues a line and the descriptors that go with its first byte. The link takes the ownership of the
    // descriptors.
    void queue(std::string line, std::vector<int> descriptors = {});
    // Queues a line like queue(), ahead of all lines that are queued. Must not be called after flush().
    void queueFirst(std::string line, std::vector<int> descriptors);
    // Sends as much of the queue as the socket accepts.
    void flush();

  private:
    // A line with the descriptors that go with its first byte.
    struct Packet {
        std::string text;
        std::vector<int> descriptors;
    };

    std::size_t sendFront(Packet& packet);

    Signal signal_;
    Connection connection_;
    std::deque<Packet> queue_;
    HandoverMessageReader reader_;
};

}  // namespace ivyreel
