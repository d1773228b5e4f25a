// The downstream and the upstream connection of one client.
#pragma once

#include <chrono>
#include <string>

#include "hot_restart/established_connection.hpp"
#include "io/scheduler.hpp"
#include "io/socket.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {

// How long the node waits, after it has sent a final line or the client has ended its side, until it closes
// the connections that are still open. The protocol gives the peer 1 s.
inline constexpr Micros kCloseTimeout = std::chrono::milliseconds(800);

// The two connections of a client, and the signal that the events of both raise. The coroutine that serves
// the client owns the pair.
struct ConnectionPair final : DecisionListener {
    // Takes ownership of the client's descriptor. Throws std::system_error.
    ConnectionPair(Scheduler& scheduler, int clientDescriptor)
        : signal(scheduler), client(Socket{signal, clientDescriptor}) {}
    void onDecision() override { signal.raise(); }

    // Whether the client has ended its request before the answer: it has disconnected, or has sent more data.
    bool clientEndedRequest() const { return client.inputEnded() || !client.input.empty(); }

    Signal signal;
    Connection client;
    Connection upstream;
    bool migrationRequested = false;  // set at shutdown: the client is to reconnect elsewhere
    Successor* successor = nullptr;   // set to the process that is to take over the connection
    bool evicted = false;             // set to close the connection and free its descriptor
};

// Sends a final line to the client, shuts down the sending side and waits up to kCloseTimeout for the client
// to close the connection. Meanwhile, a limited amount of input is read and discarded: closing a socket with
// unread input would reset the connection, and the client could lose the line.
Task<void> closeWithFinalLine(ConnectionPair& connections, std::string line);

}  // namespace ivyreel
