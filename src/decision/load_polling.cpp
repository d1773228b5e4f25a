#include "decision/load_polling.hpp"

#include <cstddef>

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr Micros kAnswerTimeout = 150ms;  // several round trips; an endpoint that answers later is skipped
constexpr std::size_t kMaxPollsPerRequest = 4;  // over nine in ten selections need fewer

}  // namespace

bool canBePolled(const Endpoint& endpoint, const Request& request, const Settings& settings, Time now) {
    if (isLoadKnown(endpoint, settings, now)) return false;
    const HealthCheckState& check = endpoint.healthCheck;
    if (wasPolledFor(request, endpoint)) return check.outstanding && now < request.polledAt + kAnswerTimeout;
    if (request.polledEndpoints.size() >= kMaxPollsPerRequest) return false;
    return !check.outstanding || now < check.startedAt + kAnswerTimeout;
}

void recordLoadPoll(Request& request, const Endpoint& endpoint, Time now) {
    request.polledEndpoints.push_back(endpoint.entry.id);
    request.polledAt = now;
}

}  // namespace ivyreel
