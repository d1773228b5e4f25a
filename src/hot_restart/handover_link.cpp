#include "hot_restart/handover_link.hpp"

#include <sys/types.h>

#include <cerrno>
#include <utility>

#include "io/unix_socket.hpp"

namespace ivyreel {

namespace {

constexpr std::size_t kMaxMessageBytes = 256UL * 1024;  // fits a connection with two full buffers in hex

}  // namespace

HandoverLink::HandoverLink(Scheduler& scheduler, int descriptor, HandoverMessageReader reader)
    : signal_(scheduler), connection_(Socket{signal_, descriptor}), reader_(std::move(reader)) {}

HandoverLink::~HandoverLink() {
    for (const Packet& packet : queue_) {
        closeAll(packet.descriptors);
    }
}

bool HandoverLink::overflowed() const {
    return reader_.pendingBytes() >= kMaxMessageBytes;
}

void HandoverLink::receive() {
    while (!connection_.inputEnded() && !overflowed()) {
        switch (reader_.receive(connection_.socket.descriptor())) {
            case HandoverMessageReader::Result::Received:
            case HandoverMessageReader::Result::Interrupted:
                break;
            case HandoverMessageReader::Result::WouldBlock:
                return;
            case HandoverMessageReader::Result::Ended:
                connection_.ended = true;
                break;
            case HandoverMessageReader::Result::Failed:
                connection_.broken = true;
                break;
        }
    }
    if (overflowed()) signal_.raise();  // the socket reports no event for input that it has already
}

int HandoverLink::takeDescriptor() {
    const std::optional<int> descriptor = reader_.takeDescriptor();
    if (!descriptor)
        throw HandoverError("connection transfer arrived without its client and endpoint sockets");
    return *descriptor;
}

void HandoverLink::queue(std::string line, std::vector<int> descriptors) {
    queue_.push_back({std::move(line), std::move(descriptors)});
}

void HandoverLink::queueFirst(std::string line, std::vector<int> descriptors) {
    queue_.push_front({std::move(line), std::move(descriptors)});
}

void HandoverLink::flush() {
    while (!queue_.empty() && !connection_.broken) {
        Packet& packet = queue_.front();
        packet.text.erase(0, sendFront(packet));
        if (!packet.text.empty()) return;
        queue_.pop_front();
    }
}

// Sends as much of the packet as the socket accepts, and closes its descriptors once they are sent. Returns
// the number of bytes sent.
std::size_t HandoverLink::sendFront(Packet& packet) {
    std::size_t sent = 0;
    if (packet.descriptors.empty()) {
        connection_.send(packet.text, sent);
        return sent;
    }
    const ssize_t count =
        sendWithDescriptors(connection_.socket.descriptor(), packet.text, packet.descriptors);
    if (count < 0 && errno != EAGAIN && errno != EINTR) connection_.broken = true;
    if (count <= 0) return 0;
    closeAll(std::exchange(packet.descriptors, {}));
    return static_cast<std::size_t>(count);
}

}  // namespace ivyreel
