#include "overloaded_discovery.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

constexpr Micros kHeartbeatInterval = 2s;
constexpr std::string_view kUnavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view kWatchHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view kSinceParameter = "since=";
constexpr std::string_view kServerAddress = "127.0.0.1:1";

void sendText(Connection& connection, std::string_view text) {
    std::size_t sent = 0;
    connection.send(text, sent);
}

void sendChunk(Connection& connection, std::string_view text) {
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    sendText(connection, std::string(size.data()).append(text).append("\r\n"));
}

std::string entryText(const std::string& server, const std::string& state) {
    return R"({"id":")" + server + R"(","addr":")" + std::string(kServerAddress) + R"(","state":")" + state +
           R"("})";
}

std::string updateText(std::uint64_t version, const std::string& entries) {
    return R"({"version":)" + std::to_string(version) + R"(,"servers":[)" + entries + "]}\n";
}

std::uint64_t sinceOf(std::string_view request) {
    const std::size_t at = request.find(kSinceParameter);
    if (at == std::string_view::npos) return 0;
    return std::strtoull(std::string(request.substr(at + kSinceParameter.size())).c_str(), nullptr, 10);
}

}  // namespace

OverloadedDiscovery::Call::Call(Scheduler& scheduler, int descriptor)
    : signal(scheduler), connection(Socket{signal, descriptor}) {}

OverloadedDiscovery::OverloadedDiscovery(Scheduler& scheduler, const DiscoveryLimits& limits)
    : scheduler_(scheduler),
      limits_(limits),
      listening_(scheduler),
      queueChanged_(scheduler),
      listener_(Socket::listenOn(listening_, port_.address())) {}

std::size_t OverloadedDiscovery::watches() const {
    return static_cast<std::size_t>(std::count_if(calls_.begin(), calls_.end(), [](const CallPointer& call) {
        return call->state == CallState::Watching;
    }));
}

void OverloadedDiscovery::start() {
    scheduler_.spawn(acceptCalls());
    scheduler_.spawn(serveQueue());
    scheduler_.spawn(sendHeartbeats());
}

void OverloadedDiscovery::setOutage(Outage outage) {
    outage_ = outage;
    if (outage != Outage::None) resetAllCalls();
    if (outage == Outage::Refused) {
        listener_.close();
    } else if (!listener_) {
        listener_ = Socket::listenOn(listening_, port_.address());
    }
}

void OverloadedDiscovery::disconnectWatches() {
    for (const CallPointer& call : calls_) {
        if (call->state != CallState::Watching) continue;
        call->connection.socket.reset();
        call->connection.broken = true;
        call->signal.raise();
    }
}

void OverloadedDiscovery::resetAllCalls() {
    queue_.clear();
    for (const CallPointer& call : calls_) {
        call->connection.socket.reset();
        call->connection.broken = true;
        call->state = CallState::Ended;
        call->signal.raise();
    }
}

std::uint64_t OverloadedDiscovery::writeEntry(const std::string& server, std::string_view state) {
    entries_[server] = {++version_, std::string(state)};
    if (faults_.heartbeatsStopped) return version_;
    const std::string update = updateText(version_, entryText(server, std::string(state)));
    for (const CallPointer& call : calls_) {
        if (call->state == CallState::Watching) sendChunk(call->connection, update);
    }
    return version_;
}

std::string OverloadedDiscovery::changesSince(std::uint64_t since) const {
    std::string entries;
    for (const auto& [server, entry] : entries_) {
        if (entry.version <= since) continue;
        if (!entries.empty()) entries += ',';
        entries += entryText(server, entry.state);
    }
    return updateText(version_, entries);
}

Micros OverloadedDiscovery::serviceTime(double calls) const {
    return Micros{static_cast<Micros::rep>(calls * 1e6 / limits_.callsPerSecond)};
}

Task<void> OverloadedDiscovery::acceptCalls() {
    for (;;) {
        int descriptor = -1;
        if (!listener_ || listener_.accept(descriptor) != Socket::AcceptResult::Accepted) {
            co_await listening_.wait();
            continue;
        }
        const auto call = std::make_shared<Call>(scheduler_, descriptor);
        if (outage_ == Outage::Reset) {
            call->connection.socket.reset();
            continue;
        }
        calls_.push_back(call);
        scheduler_.spawn(serve(call));
    }
}

// The single worker. It spends the cost of rejections first, because their responses have already been sent.
Task<void> OverloadedDiscovery::serveQueue() {
    Signal pause{scheduler_};
    for (;;) {
        if (unchargedRejectionCost_ > 0.0) {
            const Micros cost = serviceTime(std::exchange(unchargedRejectionCost_, 0.0));
            co_await pause.wait(scheduler_.now() + cost);
            continue;
        }
        if (queue_.empty()) {
            co_await queueChanged_.wait();
            continue;
        }
        const CallPointer call = queue_.front();
        queue_.pop_front();
        if (call->state == CallState::Queued) call->state = CallState::InService;
        co_await pause.wait(scheduler_.now() + serviceTime(1.0));
        if (call->state != CallState::InService) continue;  // the client disconnected during the service time
        call->state = CallState::Served;
        call->signal.raise();
    }
}

Task<void> OverloadedDiscovery::sendHeartbeats() {
    Signal pause{scheduler_};
    for (;;) {
        co_await pause.wait(scheduler_.now() + kHeartbeatInterval);
        if (faults_.heartbeatsStopped) continue;
        for (const CallPointer& call : calls_) {
            if (call->state == CallState::Watching) sendChunk(call->connection, "\n");
        }
    }
}

Task<void> OverloadedDiscovery::serve(CallPointer call) {
    co_await readRequest(*call);
    if (!call->connection.inputEnded()) {
        ++counts_.received;
        counts_.receivedAt.push_back(scheduler_.now());
        admitOrReject(call);
        co_await waitUntilServed(call);
        co_await respond(*call);
        co_await waitForDisconnect(*call);
    }
    call->state = CallState::Ended;
    // The peer has closed, so that a reset loses no data; it avoids TIME_WAIT.
    call->connection.socket.reset();
    calls_.remove(call);
}

Task<void> OverloadedDiscovery::readRequest(Call& call) {
    while (!call.connection.inputEnded() &&
           call.connection.input.view().find("\r\n\r\n") == std::string_view::npos) {
        if (!call.connection.receive()) co_await call.signal.wait();
    }
    call.since = sinceOf(call.connection.input.view());
    call.connection.input.consume(call.connection.input.size());
}

// During an outage a proxy responds with 503, without cost for the worker.
void OverloadedDiscovery::admitOrReject(const CallPointer& call) {
    if (outage_ == Outage::None && queue_.size() < limits_.queueCapacity) {
        call->state = CallState::Queued;
        queue_.push_back(call);
        queueChanged_.raise();
        return;
    }
    ++counts_.rejected;
    if (outage_ == Outage::None) addRejectionCost();
    call->state = CallState::Ended;
    sendText(call->connection, kUnavailable);
}

void OverloadedDiscovery::addRejectionCost() {
    unchargedRejectionCost_ += limits_.rejectionCost;
    queueChanged_.raise();
}

// A call that the client has closed keeps its position in the queue and still takes its service time.
Task<void> OverloadedDiscovery::waitUntilServed(CallPointer call) {
    const Time expiresAt = scheduler_.now() + limits_.maxQueueTime;
    while (call->state == CallState::Queued || call->state == CallState::InService) {
        if (call->connection.inputEnded()) {
            if (call->state == CallState::Queued) ++counts_.abandoned;
            call->state = CallState::Ended;
            co_return;
        }
        Time until = kNever;
        if (call->state == CallState::Queued) until = expiresAt;
        if (scheduler_.now() >= until) {
            expire(call);
            co_return;
        }
        co_await call->signal.wait(until);
        call->connection.receive();
    }
}

void OverloadedDiscovery::expire(const CallPointer& call) {
    std::erase(queue_, call);
    ++counts_.expired;
    addRejectionCost();
    call->state = CallState::Ended;
    sendText(call->connection, kUnavailable);
}

// Sends the list to a served call after the response delay, unless fault injection leaves the call
// unanswered.
Task<void> OverloadedDiscovery::respond(Call& call) {
    if (call.state != CallState::Served) co_return;
    if (faults_.unansweredEvery > 0 && ++served_ % faults_.unansweredEvery == 0) {
        ++counts_.unanswered;
        co_return;
    }
    const std::optional<std::string> scripted = std::exchange(nextResponse_, std::nullopt);
    if (scripted) {
        sendText(call.connection, *scripted);
        co_return;
    }
    const Time answerAt = scheduler_.now() + faults_.responseDelay;
    while (scheduler_.now() < answerAt && !call.connection.broken) {
        co_await call.signal.wait(answerAt);
        call.connection.receive();
    }
    sendList(call);
}

// Sends the list even if the client has closed the call, as a server does that does not check.
void OverloadedDiscovery::sendList(Call& call) {
    sendText(call.connection, kWatchHeader);
    sendChunk(call.connection, changesSince(call.since));
    if (call.connection.inputEnded()) {
        ++counts_.respondedLate;
        return;
    }
    ++counts_.answered;
    counts_.answeredAt.push_back(scheduler_.now());
    call.state = CallState::Watching;
}

Task<void> OverloadedDiscovery::waitForDisconnect(Call& call) {
    while (!call.connection.inputEnded()) {
        co_await call.signal.wait();
        call.connection.receive();
        call.connection.input.consume(call.connection.input.size());
    }
}

}  // namespace ivyreel
