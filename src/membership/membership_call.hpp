// One call to discovery that opens a watch on the endpoint list: its connection, its request, and the
// messages of the response as they arrive. It never blocks: its owner calls advance() when the signal was
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

// An update of the list, or none: a heartbeat.
using WatchMessage = std::optional<MembershipUpdate>;

class MembershipCall {
  public:
    enum class State {
        Connecting,
        AwaitingResponse,  // connected; no complete message yet
        Watching,          // the watch is open
        Failed,
    };
    struct Failure {
        CallFailure kind = CallFailure::Unreachable;
        std::string reason;  // for the log
    };

    // Starts to connect. `since` is the version of the list that the caller has. Never throws: a call that
    // cannot be started is in the state Failed.
    MembershipCall(Signal& signal, const Address& discovery, std::uint64_t since);

    // Writes and reads as much as possible without blocking. True if something was read: there may be more.
    bool advance();

    State state() const { return state_; }
    Time startedAt() const { return startedAt_; }
    // Why it failed; valid in the state Failed.
    const Failure& failure() const { return failure_; }
    bool hasMessages() const { return !messages_.empty(); }
    // The messages since the last call of this function, in order, with those that came before a failure.
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
