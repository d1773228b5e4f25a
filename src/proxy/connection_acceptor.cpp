#include "proxy/connection_acceptor.hpp"

#include <spdlog/spdlog.h>

#include <chrono>
#include <system_error>
#include <utility>

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

constexpr int kMaxAcceptsPerBatch = 8;
constexpr Micros kExhaustedRetryDelay = 50ms;  // when accept() reports AcceptResult::Exhausted

}  // namespace

ConnectionAcceptor::ConnectionAcceptor(Scheduler& scheduler, UnopenedConnections& unopened,
                                       const DescriptorBudget& descriptors, Metrics& metrics,
                                       const Address& address, int inheritedListener, Handler handler)
    : scheduler_(scheduler),
      unopened_(unopened),
      descriptors_(descriptors),
      metrics_(metrics),
      handler_(std::move(handler)),
      signal_(scheduler),
      listener_(Socket::listenOn(signal_, address, inheritedListener)) {}

void ConnectionAcceptor::setAccepting(bool accepting) {
    accepting_ = accepting;
    signal_.raise();
}

Task<void> ConnectionAcceptor::run() {
    for (;;) {
        const Time retryAt = acceptBatch();
        co_await signal_.wait(retryAt);
    }
}

// Accepts up to kMaxAcceptsPerBatch connections. Returns when to call this again even if the socket reports
// no event.
Time ConnectionAcceptor::acceptBatch() {
    for (int accepted = 0; accepting_; ++accepted) {
        if (accepted == kMaxAcceptsPerBatch) {
            signal_.raise();
            return kNever;
        }
        const Time evictableAt = unopened_.makeRoom(descriptors_.maxUnopened(), scheduler_.now());
        if (evictableAt != kNever) return evictableAt;
        int descriptor = -1;
        const Socket::AcceptResult state = listener_.accept(descriptor);
        if (state == Socket::AcceptResult::WouldBlock) return kNever;
        if (state == Socket::AcceptResult::Exhausted) {
            reportExhaustion();
            return scheduler_.now() + kExhaustedRetryDelay;
        }
        exhaustionReported_ = false;
        handle(descriptor);
    }
    return kNever;
}

void ConnectionAcceptor::reportExhaustion() {
    if (std::exchange(exhaustionReported_, true)) return;
    spdlog::error(
        "cannot accept connections: out of descriptors or memory ({} descriptors watched, limit {})",
        scheduler_.watchedDescriptorCount(), descriptors_.limit());
}

void ConnectionAcceptor::handle(int descriptor) {
    ++metrics_.accepted;
    try {
        handler_(descriptor);
    } catch (const std::system_error& error) {
        spdlog::error("cannot serve an accepted connection: {}", error.what());
    }
}

}  // namespace ivyreel
