// The rate at which this node sends load to all endpoints. Load is in microseconds of work per second; the
// rate is load per second.
#pragma once

#include <vector>

#include "decision/endpoint.hpp"
#include "decision/types.hpp"

namespace ivyreel {

class SendRate {
  public:
    void recordSend(const RecentSend& send) { sends_.push_back(send); }
    // Removes the send of an ended connection, which adds no load to the endpoints any more.
    void removeSend(RequestId request);
    // Returns the rate over a window that is long enough for a few sends. Removes the sends that are too old
    // for any window.
    double measure(Time now, double arrivalsPerSecond);

  private:
    std::vector<RecentSend> sends_;
};

}  // namespace ivyreel
