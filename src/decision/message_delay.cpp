#include "decision/message_delay.hpp"

#include "decision/health_check_schedule.hpp"

namespace ivyreel {
namespace {

// Delays above this share count as late: at such a mean delay, many messages exceed the objective.
constexpr double kLateShareOfObjective = 0.5;
constexpr double kMicrosPerMs = 1e3;

}  // namespace

void recordMessageDelay(Endpoint& endpoint, double delayMs, Micros objective, Time now) {
    if (objective <= Micros{0}) return;
    const double delayMicros = delayMs * kMicrosPerMs;
    const auto objectiveMicros = static_cast<double>(objective.count());
    if (delayMicros <= kLateShareOfObjective * objectiveMicros) return;
    endpoint.lastLateMessageAt = now;
    if (delayMicros > objectiveMicros) scheduleImmediateCheck(endpoint, now);
}

}  // namespace ivyreel
