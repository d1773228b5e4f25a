// What the node has with hosts for its clients: where they are, attempts to open a connection, the relay.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "facade/facade.hpp"
#include "net/counters.hpp"
#include "net/line.hpp"
#include "net/scheduler.hpp"
#include "net/socket.hpp"
#include "net/standing.hpp"

namespace ivyreel::net {

// A client's connection and the one to its host, with the signal that both report to. Its owner is the
// coroutine that serves the client.
struct Exchange final : Listener {
    Exchange(Scheduler& scheduler, int descriptor) : signal(scheduler), client(Socket{signal, descriptor}) {}
    void ordered() override { signal.raise(); }
    // Before its answer: the client has left, or has spoken again.
    bool forsaken() const { return client.over() || !client.in.empty(); }

    Signal signal;
    Connection client;
    Connection host;
    bool leave = false;              // the node stops: the client is to be moved
    Successor* successor = nullptr;  // or handed over, while this one serves
    bool yielded = false;            // its place among those without a request is wanted: to be closed
};

struct AttemptResult {
    // Forsaken: the client has left, or has not waited for its answer.
    enum class Kind { Up, Ended, CalledOff, Forsaken };
    Kind kind = Kind::Ended;
    Outcome outcome = Outcome::ConnectFailed;  // of one that ended
    Micros waited{0};
    std::optional<LoadReport> load;
};

class Hosts {
  public:
    Hosts(Facade& facade, Counters& counters) : facade_(facade), counters_(counters) {}

    void setAddress(HostId host, const Address& address) { addresses_[host] = address; }
    void forgetAddress(HostId host) { addresses_.erase(host); }
    void forgetAddresses() { addresses_.clear(); }
    std::optional<Address> addressOf(HostId host) const;

    // Sends the opening line to a host and waits for its answer. Up: the answer is the first line of what
    // came from the host. Otherwise the connection to the host is closed.
    struct Target {
        HostId host{};
        Micros timeout{0};
        bool standing = false;  // stood before the start: sent whatever the list says
        ClassCounts& counts;
    };
    Task<AttemptResult> attempt(Exchange& exchange, const Ticket& ticket, const Opening& opening,
                                Target target);

    // Passes lines both ways until one side ends or the client is to be moved, and ends the other side. True
    // if it stopped to be handed over instead: then `state`, with which it began, is what it holds.
    Task<bool> relay(Exchange& exchange, Ticket& ticket, RelayState& state);

  private:
    struct HashHost {
        std::size_t operator()(HostId host) const { return static_cast<std::size_t>(host); }
    };
    class Relay;

    Facade& facade_;
    Counters& counters_;
    std::unordered_map<HostId, Address, HashHost> addresses_;
};

// Writes a last line to the client, ends the connection and waits a little for the client to do so too. What
// still comes is discarded, so that the end is no reset that destroys the line; not without end.
Task<void> sayGoodbye(Exchange& exchange, std::string line);

}  // namespace ivyreel::net
