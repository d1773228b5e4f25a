#include "hot_restart/handover_link.hpp"

#include <sys/types.h>

#include <array>
#include <cerrno>
#include <utility>

#include "io/unix_socket.hpp"

namespace ivyreel {

namespace {

constexpr std::size_t kMaxMessageBytes = 256UL * 1024;  // fits a connection with two full buffers in hex
constexpr std::size_t kReadBytes = 16384;

}  // namespace

HandoverLink::HandoverLink(Scheduler& scheduler, int descriptor)
    : signal_(scheduler), connection_(Socket{signal_, descriptor}) {}

HandoverLink::~HandoverLink() {
    for (const Packet& packet : queue_) {
        closeAll(packet.descriptors);
    }
    closeAll(receivedDescriptors_);
}

bool HandoverLink::overflowed() const {
    return received_.size() >= kMaxMessageBytes;
}

void HandoverLink::receive() {
    while (!connection_.inputEnded() && !overflowed()) {
        std::array<char, kReadBytes> chunk{};
        const ssize_t count =
            receiveWithDescriptors(connection_.socket.descriptor(), chunk, receivedDescriptors_);
        if (count > 0) {
            received_.append(chunk.data(), static_cast<std::size_t>(count));
        } else if (count == 0) {
            connection_.ended = true;
        } else if (errno == EAGAIN) {
            return;
        } else if (errno != EINTR) {
            connection_.broken = true;
        }
    }
}

std::optional<std::string> HandoverLink::nextMessage() {
    const std::size_t end = received_.find('\n');
    if (end == std::string::npos) return std::nullopt;
    std::string message = received_.substr(0, end);
    received_.erase(0, end + 1);
    return message;
}

int HandoverLink::takeDescriptor() {
    if (receivedDescriptors_.empty())
        throw HandoverError("connection transfer arrived without its client and endpoint sockets");
    const int descriptor = receivedDescriptors_.front();
    receivedDescriptors_.erase(receivedDescriptors_.begin());
    return descriptor;
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
