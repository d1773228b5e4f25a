#include "proxy/connection_pair.hpp"

#include <chrono>
#include <cstddef>
#include <utility>

namespace ivyreel {

namespace {

constexpr std::size_t kMaxDiscardedBytes = 256UL * 1024;  // input that is read after the final line

}  // namespace

Task<void> closeWithFinalLine(ConnectionPair& connections, std::string line) {
    const Scheduler& scheduler = connections.signal.scheduler();
    const Time deadline = scheduler.now() + kCloseTimeout;
    Connection& client = connections.client;
    std::size_t sent = 0;
    bool sendingFinished = false;
    std::size_t discarded = 0;
    while (!client.broken && scheduler.now() < deadline) {
        client.send(line, sent);
        if (sent == line.size() && !std::exchange(sendingFinished, true)) client.socket.shutdownSend();
        discarded += client.input.size();
        client.input.consume(client.input.size());
        // More input may be available: yield to the other coroutines before the next read.
        if (discarded < kMaxDiscardedBytes && client.receive()) connections.signal.raise();
        if (connections.evicted || (sendingFinished && client.inputEnded())) break;
        co_await connections.signal.wait(deadline);
    }
    client.socket.close();
}

}  // namespace ivyreel
