// The final answers that the node itself sends to clients, and their metrics.
#pragma once

#include <cstdint>

#include "admin/metrics.hpp"
#include "io/scheduler.hpp"
#include "proxy/connection_pair.hpp"

namespace ivyreel {

// Why the node rejects the input of a client.
enum class InputError {
    Malformed,        // not a well-formed opening line
    OverlongLine,     // no line end within kMaxLineBytes
    UnknownClass,     // a request class that is absent from the settings
    InvalidNumber,    // a number that is malformed or out of range
    DuplicateId,      // the id of a request that is open or has ended recently
    UnexpectedInput,  // data after the opening line, before the answer
};

// Each function updates the metrics immediately; the task that it returns sends the answer and closes the
// connection.
class ClientResponses {
  public:
    explicit ClientResponses(Metrics& metrics) : metrics_(metrics) {}

    // Sends BUSY and, unless `retryAfter` is 0, the time in milliseconds after which the client should retry.
    Task<void> sendBusy(ConnectionPair& connections, RequestClassMetrics& classMetrics, Micros retryAfter);
    // Sends ERR for a request that has failed.
    Task<void> sendFailure(ConnectionPair& connections, RequestClassMetrics& classMetrics);
    // Sends ERR for input that is not a valid request. `classMetrics` is null if the request class is
    // unknown.
    Task<void> rejectInput(ConnectionPair& connections, InputError error, RequestClassMetrics* classMetrics);

  private:
    std::uint64_t& counterOf(InputError error);

    Metrics& metrics_;
};

}  // namespace ivyreel
