// The answers that the node itself gives to clients, and their metrics.
#pragma once

#include <cstdint>

#include "admin/metrics.hpp"
#include "io/scheduler.hpp"
#include "proxy/connection_pair.hpp"

namespace ivyreel {

// Why the input of a client is rejected.
enum class InputError {
    Malformed,        // no opening line
    OverlongLine,     // no end within the longest line
    UnknownClass,     // a request class that the settings do not name
    InvalidNumber,    // a number that cannot be read or is out of range
    DuplicateId,      // the id of a request that is open or ended recently
    UnexpectedInput,  // more than the opening line before the answer
};

// Each function counts the answer at once; the returned task sends it and closes the connection.
class ClientResponses {
  public:
    explicit ClientResponses(Metrics& metrics) : metrics_(metrics) {}

    // BUSY, with the time after which the client should retry if it is not zero.
    Task<void> sendBusy(ConnectionPair& connections, RequestClassMetrics& classMetrics, Micros retryAfter);
    // ERR to a request that has failed.
    Task<void> sendFailure(ConnectionPair& connections, RequestClassMetrics& classMetrics);
    // ERR to input that is no valid request. `classMetrics` is null if its class is not known.
    Task<void> rejectInput(ConnectionPair& connections, InputError error, RequestClassMetrics* classMetrics);

  private:
    std::uint64_t& counterOf(InputError error);

    Metrics& metrics_;
};

}  // namespace ivyreel
