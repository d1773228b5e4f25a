// Receives the signals that control a node (SIGTERM, SIGINT, SIGHUP, SIGUSR1) as events of the scheduler.
#pragma once

#include <optional>

#include "io/scheduler.hpp"
#include "io/socket.hpp"

namespace ivyreel {

class SignalReceiver {
  public:
    explicit SignalReceiver(Scheduler& scheduler);

    // Blocks the signals, which would end the process by default, until a receiver reads them. To be called
    // first in main().
    static void blockSignals();

    // Removes and returns the number of the next pending signal; none if no signal is pending.
    std::optional<int> take() const;
    // Awaits the next signal. May resume although none is pending.
    auto wait() { return signal_.wait(); }

  private:
    Signal signal_;
    Socket descriptor_;
};

}  // namespace ivyreel
