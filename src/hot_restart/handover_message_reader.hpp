// The receiving side of the handover link: the only reader of its messages, of the state as of all others.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace ivyreel {

// Splits the received bytes into messages, which are lines of text, and keeps the bytes that follow a message
// for the next one. Owns the received descriptors that have not been taken.
class HandoverMessageReader {
  public:
    HandoverMessageReader() = default;
    HandoverMessageReader(const HandoverMessageReader&) = delete;
    HandoverMessageReader& operator=(const HandoverMessageReader&) = delete;
    HandoverMessageReader(HandoverMessageReader&&) = default;
    HandoverMessageReader& operator=(HandoverMessageReader&&) = delete;
    ~HandoverMessageReader();

    enum class Result { Received, WouldBlock, Interrupted, Ended, Failed };
    // Reads once from the socket, which must not block.
    Result receive(int socket);

    // Takes the next complete message, without its line end; none if there is none.
    std::optional<std::string> nextMessage();
    // Takes the next descriptor, in the order of the messages that they belong to; none if there is none.
    std::optional<int> takeDescriptor();
    // The bytes that have been received and not been taken.
    std::size_t pendingBytes() const { return received_.size(); }

  private:
    std::string received_;
    std::size_t searchedBytes_ = 0;  // of received_, known to contain no line end
    std::vector<int> descriptors_;
};

}  // namespace ivyreel
