// A call to discovery that opens a watch on the endpoint list: its connection, its request, and the messages
// of the response as they arrive. The call never blocks: its owner calls advance() each time the signal is
// raised.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "io/scheduler.hpp"
#include "io/socket.hpp"
#include "membership/call_policy.hpp"
#include "membership/membership_update.hpp"
#include "protocol/http.hpp"
#include "protocol/json_object_scanner.hpp"

namespace ivyreel {

// An update of the list; nullopt is a heartbeat.
using WatchMessage = std::optional<MembershipUpdate>;

class MembershipCall {
  public:
    enum class State {
        Connecting,
        AwaitingResponse,  // connected, but no complete message received yet
        Watching,          // the watch is open
        Failed,
    };
    struct Failure {
        CallFailure kind = CallFailure::Unreachable;
        std::string reason;  // for the log
    };

    // Starts to connect. `knownVersion` is the version of the list that the node already has. Never throws:
    // if the connection cannot be started, the call is in the state Failed.
    MembershipCall(Signal& signal, const Address& discovery, std::uint64_t knownVersion);

    // Writes and reads as much as possible without blocking. Returns true if data was read: there may be more
    // to read.
    bool advance();

    State state() const { return state_; }
    Time startedAt() const { return startedAt_; }
    // The cause of the failure; valid in the state Failed.
    const Failure& failure() const { return failure_; }
    bool hasMessages() const { return !messages_.empty(); }
    // Returns the messages since the last call of this function, in order. They include the messages that
    // arrived before a failure.
    std::vector<WatchMessage> takeMessages();

  private:
    void connect(Signal& signal, const Address& discovery);
    void checkConnection();
    bool transferData();
    void readResponse();
    void readBody();
    void checkForEnd(bool received);
    void fail(CallFailure kind, std::string reason);

    Time startedAt_;
    State state_ = State::Connecting;
    Failure failure_;
    Connection connection_;
    std::string request_;
    std::size_t sent_ = 0;
    HttpResponseParser response_;
    std::string body_;
    JsonObjectScanner scanner_;
    std::vector<WatchMessage> messages_;
};

}  // namespace ivyreel
