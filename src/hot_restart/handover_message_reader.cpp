#include "hot_restart/handover_message_reader.hpp"

#include <sys/types.h>

#include <array>
#include <cerrno>

#include "io/unix_socket.hpp"

namespace ivyreel {

namespace {

constexpr std::size_t kReadBytes = 65536;

}  // namespace

HandoverMessageReader::~HandoverMessageReader() {
    closeAll(descriptors_);
}

HandoverMessageReader::Result HandoverMessageReader::receive(int socket) {
    std::array<char, kReadBytes> chunk{};
    const ssize_t count = receiveWithDescriptors(socket, chunk, descriptors_);
    if (count > 0) {
        received_.append(chunk.data(), static_cast<std::size_t>(count));
        return Result::Received;
    }
    if (count == 0) return Result::Ended;
    if (errno == EAGAIN || errno == EWOULDBLOCK) return Result::WouldBlock;
    return errno == EINTR ? Result::Interrupted : Result::Failed;
}

std::optional<std::string> HandoverMessageReader::nextMessage() {
    const std::size_t end = received_.find('\n', searchedBytes_);
    if (end == std::string::npos) {
        searchedBytes_ = received_.size();
        return std::nullopt;
    }
    std::string message = received_.substr(0, end);
    received_.erase(0, end + 1);
    searchedBytes_ = 0;
    return message;
}

std::optional<int> HandoverMessageReader::takeDescriptor() {
    if (descriptors_.empty()) return std::nullopt;
    const int descriptor = descriptors_.front();
    descriptors_.erase(descriptors_.begin());
    return descriptor;
}

}  // namespace ivyreel
