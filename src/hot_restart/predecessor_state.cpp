#include "hot_restart/predecessor_state.hpp"

#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <chrono>
#include <utility>

#include "hot_restart/handover_messages.hpp"
#include "io/unix_socket.hpp"

namespace ivyreel {

namespace {

using namespace std::chrono_literals;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::chrono::seconds kRequestTimeout = 1s;  // a running node answers within milliseconds
constexpr std::size_t kMaxStateBytes = 64UL * 1024 * 1024;

// Waits until a descriptor is readable. Returns false at the deadline.
bool awaitReadable(int descriptor, SteadyTime deadline) {
    const auto remaining =
        std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    pollfd poll{descriptor, POLLIN, 0};
    return remaining.count() > 0 && ::poll(&poll, 1, static_cast<int>(remaining.count())) == 1;
}

// Connects to the node at that address. Empty if no node runs there, which is the case in a normal start.
UniqueDescriptor connectTo(const HandoverAddress& handoverAddress) {
    const UnixAddress address{handoverAddress.directory, handoverAddress.fileName()};
    UniqueDescriptor link{newUnixSocket()};
    const bool connected = link.get() >= 0 && address.fits() &&
                           ::connect(link.get(), address.address(), address.size()) == 0 &&
                           isPeerSameUser(link.get());
    return connected ? std::move(link) : UniqueDescriptor{};
}

bool sendAll(int socket, const std::string& text) {
    return ::send(socket, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

}  // namespace

int PredecessorState::takeListener(std::size_t index) {
    return index < listeners_.size() ? listeners_[index].release() : -1;
}

std::optional<PredecessorState> PredecessorState::request(const HandoverAddress& handoverAddress) {
    if (handoverAddress.directory.empty()) return std::nullopt;
    const SteadyTime deadline = std::chrono::steady_clock::now() + kRequestTimeout;
    PredecessorState state{connectTo(handoverAddress)};
    if (state.link_.get() < 0) return std::nullopt;
    const HandoverRequest request{handoverAddress.listen, handoverAddress.adminAddress};
    if (!sendAll(state.link_.get(), encode(request))) return std::nullopt;
    if (!state.receiveState(deadline)) {
        spdlog::warn(
            "hot restart: the running node did not hand over its complete state in time; this node "
            "starts without it");
        return std::nullopt;
    }
    return state;
}

// Receives the line of state and the listening sockets. Returns false if the line is incomplete at the
// deadline or at the end of the link, or is too long.
bool PredecessorState::receiveState(SteadyTime deadline) {
    for (;;) {
        if (std::optional<std::string> state = reader_.nextMessage()) {
            inheritedState_ = std::move(*state);
            takeListeners();
            return true;
        }
        if (reader_.pendingBytes() > kMaxStateBytes) return false;
        switch (reader_.receive(link_.get())) {
            case HandoverMessageReader::Result::Received:
            case HandoverMessageReader::Result::Interrupted:
                break;
            case HandoverMessageReader::Result::WouldBlock:
                if (!awaitReadable(link_.get(), deadline)) return false;
                break;
            case HandoverMessageReader::Result::Ended:
            case HandoverMessageReader::Result::Failed:
                return false;
        }
    }
}

// The descriptors behind those that one message can carry belong to later messages.
void PredecessorState::takeListeners() {
    while (listeners_.size() < kMaxDescriptorsPerMessage) {
        const std::optional<int> listener = reader_.takeDescriptor();
        if (!listener) return;
        listeners_.emplace_back(*listener);
    }
}

}  // namespace ivyreel
