#include "health/health_checker.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <system_error>
#include <utility>

#include "protocol/keywords.hpp"
#include "protocol/line.hpp"
#include "requests/load_report_parser.hpp"

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kDescriptorShareDivisor = 4;  // health checks get one descriptor in four
constexpr Micros kSlotPollInterval = 10ms;          // of a check that waits for another to end

Outcome outcomeOf(std::string_view answer) {
    if (answer == keyword::kPong) return Outcome::Ok;
    return answer == keyword::kBusy ? Outcome::Rejected : Outcome::Error;
}

}  // namespace

void HealthChecker::setDescriptorLimit(std::size_t limit) {
    maxConnections_ = std::max<std::size_t>(1, limit / kDescriptorShareDivisor);
}

void HealthChecker::startHealthCheck(EndpointId endpoint) {
    std::unique_ptr<CheckedEndpoint>& checked = endpoints_[endpoint];
    if (!checked) {
        checked = std::make_unique<CheckedEndpoint>(scheduler_);
        scheduler_.spawn(run(endpoint, *checked));
    }
    checked->checkRequested = true;
    checked->signal.raise();
}

void HealthChecker::closeIdle() {
    for (auto& [id, endpoint] : endpoints_) {
        if (!endpoint->checkInProgress) endpoint->connection = Connection{};
    }
}

// Runs each requested check of one endpoint. Ends, and closes the connection, after the idle timeout without
// a request.
Task<void> HealthChecker::run(EndpointId id, CheckedEndpoint& endpoint) {
    Time idleUntil = scheduler_.now() + tracker_.idleTimeout();
    for (;;) {
        if (std::exchange(endpoint.checkRequested, false)) {
            co_await runCheck(id, endpoint);
            idleUntil = scheduler_.now() + tracker_.idleTimeout();
            continue;
        }
        if (endpoint.connection.socket) closeIfUnusable(endpoint.connection);
        if (scheduler_.now() >= idleUntil) break;
        co_await endpoint.signal.wait(idleUntil);
    }
    endpoints_.erase(id);
}

// Waits while the maximum number of checks is in progress, then runs one check and reports the result.
Task<void> HealthChecker::runCheck(EndpointId id, CheckedEndpoint& endpoint) {
    const Time start = scheduler_.now();
    while (checksInProgress_ >= maxConnections_) {
        co_await endpoint.signal.wait(scheduler_.now() + kSlotPollInterval);
    }
    endpoint.checkInProgress = true;
    ++checksInProgress_;
    const Result result = co_await check(id, endpoint);
    --checksInProgress_;
    endpoint.checkInProgress = false;
    if (endpoints_.size() > maxConnections_) endpoint.connection = Connection{};
    ++(result.outcome == Outcome::Ok ? metrics_.healthChecks : metrics_.healthChecksFailed);
    tracker_.healthCheckCompleted(id, result.outcome, scheduler_.now() - start, result.load);
}

// An endpoint sends nothing between checks, so a connection with input cannot be reused, and neither can one
// that has ended.
void HealthChecker::closeIfUnusable(Connection& connection) {
    connection.receive();
    if (connection.inputEnded() || !connection.input.empty()) connection = Connection{};
}

Task<HealthChecker::Result> HealthChecker::check(EndpointId id, CheckedEndpoint& endpoint) {
    const auto address = connector_.addressOf(id);
    if (!address) co_return Result{};
    if (endpoint.connection.socket && !(endpoint.address == *address)) endpoint.connection = Connection{};
    if (endpoint.connection.socket) {
        // Without a result, the connection was closed while it was idle. This does not count as a failure of
        // the endpoint, so the check is repeated on a new connection.
        if (const auto result = co_await exchange(endpoint, true)) co_return *result;
    }
    if (!co_await connect(id, endpoint)) co_return Result{};
    const auto result = co_await exchange(endpoint, false);
    co_return result.value_or(Result{Outcome::Reset, std::nullopt});
}

Task<bool> HealthChecker::connect(EndpointId id, CheckedEndpoint& endpoint) {
    endpoint.address = *connector_.addressOf(id);
    try {
        endpoint.connection = Connection{Socket::connectTo(endpoint.signal, endpoint.address)};
    } catch (const std::system_error& error) {
        spdlog::warn("cannot connect to endpoint at {} for a health check: {}", endpoint.address.text(),
                     error.what());
        co_return false;
    }
    ++metrics_.healthCheckConnections;
    const Time deadline = scheduler_.now() + tracker_.connectTimeout();
    for (;;) {
        const Socket::ConnectState state = endpoint.connection.socket.connectState();
        if (state == Socket::ConnectState::Done) co_return true;
        if (state == Socket::ConnectState::Failed || scheduler_.now() >= deadline) {
            endpoint.connection = Connection{};
            co_return false;
        }
        co_await endpoint.signal.wait(deadline);
    }
}

// Sends one health check and reads the answer. Returns none if the connection was reused and had been closed.
Task<std::optional<HealthChecker::Result>> HealthChecker::exchange(CheckedEndpoint& endpoint, bool reused) {
    const std::string_view query = tracker_.wantsLoadReports() ? fixed_line::kLoadQuery : fixed_line::kPing;
    const Time deadline = scheduler_.now() + tracker_.connectTimeout();
    Connection& connection = endpoint.connection;
    std::size_t sent = 0;
    for (;;) {
        connection.send(query, sent);
        connection.receive();
        if (const auto result = readAnswer(connection)) co_return result;
        const bool deadlinePassed = scheduler_.now() >= deadline;
        if (const auto failure = failureOf(connection, deadlinePassed)) {
            connection = Connection{};
            if (*failure == Outcome::Reset && reused) co_return std::nullopt;
            co_return Result{*failure, std::nullopt};
        }
        co_await endpoint.signal.wait(deadline);
    }
}

// Returns none while the answer is incomplete. Closes the connection unless the connection can be reused.
std::optional<HealthChecker::Result> HealthChecker::readAnswer(Connection& connection) {
    const auto line = firstLine(connection.input.view());
    if (!line) return std::nullopt;
    const auto [word, rest] = firstWord(line->text);
    const Result result{outcomeOf(word), parseLoadReport(rest)};
    connection.input.consume(line->bytes);
    if (connection.inputEnded() || result.outcome != Outcome::Ok) connection = Connection{};
    return result;
}

// Returns why no answer can arrive any more; none if an answer may still arrive.
std::optional<Outcome> HealthChecker::failureOf(const Connection& connection, bool deadlinePassed) {
    if (connection.inputEnded()) return Outcome::Reset;
    if (deadlinePassed) return Outcome::Timeout;
    if (exceedsMaxLineLength(connection.input.view())) return Outcome::Error;
    return std::nullopt;
}

}  // namespace ivyreel
