// Records delays of messages on open connections, and decides which count as late for their endpoint.
#pragma once

#include "decision/endpoint.hpp"
#include "decision/types.hpp"

namespace ivyreel {

// A delay above half of the objective counts as late; a delay above the objective also schedules an immediate
// health check. `objective` is the message latency objective of the connection's class. If it is 0, none is
// stated and no message counts as late.
void recordMessageDelay(Endpoint& endpoint, double delayMs, Micros objective, Time now);

}  // namespace ivyreel
