#include "decision/send_rate.hpp"

#include <algorithm>

#include "decision/duration_arithmetic.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr Micros kMinWindow = 2s;
constexpr Micros kMaxWindow = 10s;
constexpr double kMinSendsInWindow = 4.0;  // fewer do not determine a rate

}  // namespace

void SendRate::removeSend(RequestId request) {
    std::erase_if(sends_, [request](const RecentSend& send) { return send.request == request; });
}

double SendRate::measure(Time now, double arrivalsPerSecond) {
    const double minRate = kMinSendsInWindow / seconds(kMaxWindow);
    const double secondsForMinSends = kMinSendsInWindow / std::max(arrivalsPerSecond, minRate);
    const double window = std::max(seconds(kMinWindow), secondsForMinSends);
    std::erase_if(sends_, [now](const RecentSend& send) { return send.sentAt <= now - kMaxWindow; });
    double load = 0.0;
    for (const RecentSend& send : sends_)
        if (seconds(now - send.sentAt) < window) load += send.load;
    return load / window;
}

}  // namespace ivyreel
