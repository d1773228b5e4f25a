// The state of an established connection, as a relay stores it and a hot restart transfers it, and the
// interface through which relays transfer connections to the successor.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "decision/decision_engine.hpp"
#include "io/scheduler.hpp"

namespace ivyreel {

// The bytes that a relay has received but not yet sent, and its latency measurement.
struct RelayState {
    std::string fromClient;
    std::string fromUpstream;
    std::size_t completeClientBytes = 0;    // bytes at the front of fromClient that are complete lines
    std::size_t completeUpstreamBytes = 0;  // bytes at the front of fromUpstream that are complete lines
    Time unansweredSince = kNever;          // arrival time of the oldest client line without a response
};

// A client's connection to an endpoint, in the form that relay, handover and successor exchange.
struct EstablishedConnection {
    std::string openingLine;  // the client's first line
    EndpointId endpoint{};
    std::optional<double> load;  // microseconds of work per second
    RelayState relay;
    int clientSocket = -1;  // descriptors, owned by the holder of this object
    int upstreamSocket = -1;
};

// The interface of the relays to the process that replaces this one.
class Successor {
  public:
    Successor() = default;
    Successor(const Successor&) = delete;
    Successor& operator=(const Successor&) = delete;
    Successor(Successor&&) = delete;
    Successor& operator=(Successor&&) = delete;
    virtual ~Successor() = default;

    // Whether a successor is running and serves clients.
    virtual bool isServing() const = 0;
    // Transfers a connection and its descriptors to the successor. Closes the descriptors if no successor
    // serves clients any more.
    virtual void transferConnection(const EstablishedConnection& connection) = 0;
};

}  // namespace ivyreel
