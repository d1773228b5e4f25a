// The first step of a hot restart, at the successor: it requests the state and the listening sockets of the
// running node.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hot_restart/handover_address.hpp"
#include "hot_restart/handover_message_reader.hpp"
#include "io/unique_descriptor.hpp"

namespace ivyreel {

// The state and the listening sockets that the predecessor has sent, and the open link to it.
class PredecessorState {
  public:
    // Sends the request to the node at that address and blocks the calling thread until the node's answer is
    // complete, for at most a second. To be called before the scheduler runs, because no coroutine is resumed
    // meanwhile. None if no node runs at that address, or if its answer is incomplete after that time.
    static std::optional<PredecessorState> request(const HandoverAddress& handoverAddress);

    // Both transfer the ownership of a descriptor to the caller; -1 if there is none. The index of a
    // listening socket is its position in HandoverDelegate::listeners().
    int takeLink() { return link_.release(); }
    int takeListener(std::size_t index);
    // Transfers the input of the link that follows the state.
    HandoverMessageReader takeReader() { return std::move(reader_); }

    // The state without its line end, for HandoverState::parse.
    const std::string& handoverState() const { return inheritedState_; }

  private:
    explicit PredecessorState(UniqueDescriptor link) : link_(std::move(link)) {}

    bool receiveState(std::chrono::steady_clock::time_point deadline);
    void takeListeners();

    UniqueDescriptor link_;
    HandoverMessageReader reader_;
    std::vector<UniqueDescriptor> listeners_;
    std::string inheritedState_;
};

}  // namespace ivyreel
