#include "proxy/relay.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include "protocol/keywords.hpp"
#include "protocol/line.hpp"
#include "protocol/load_values.hpp"
#include "requests/load_report_parser.hpp"

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

// The time from the first client line without an answer to the migration of the client. Clients send a line
// every 2 s, so MOVE follows less than 7 s in total after the endpoint has become unresponsive.
constexpr Micros kUnresponsiveTimeout = 4s;
constexpr int kMaxStepsBeforeYield = 8;  // before this coroutine yields to the others

}  // namespace

Task<bool> Relay::run() {
    connections_.client.input.append(std::exchange(state_.fromClient, {}));
    connections_.upstream.input.append(std::exchange(state_.fromUpstream, {}));
    for (;;) {
        int steps = 0;
        while (steps < kMaxStepsBeforeYield && step()) {
            ++steps;
        }
        const bool more = steps == kMaxStepsBeforeYield;
        if (more) connections_.signal.raise();
        if (overlongLine_) {
            ++metrics_.badInput;
            ++metrics_.badLength;
            tracker_.connectionEnded(trackedRequest_, Outcome::Cancelled, std::nullopt);
            co_await migrate();
            co_return false;
        }
        if (connections_.client.broken || (connections_.client.ended && !more)) {
            co_await closeAfterClientEnd();
            co_return false;
        }
        if (connections_.upstream.inputEnded() && !more) {
            co_await closeAfterUpstreamEnd();
            co_return false;
        }
        if (trackedRequest_.shouldMigrate() || connections_.migrationRequested) {
            ++metrics_.migrated;
            co_await migrate();
            co_return false;
        }
        if (prepareHandover()) co_return true;
        const Time unresponsiveAt =
            state_.unansweredSince == kNever ? kNever : state_.unansweredSince + kUnresponsiveTimeout;
        if (now() >= unresponsiveAt) {
            ++metrics_.migratedUnresponsive;
            ++metrics_.migrated;
            tracker_.connectionEnded(trackedRequest_, Outcome::Reset, std::nullopt);
            co_await migrate();
            co_return false;
        }
        co_await connections_.signal.wait(unresponsiveAt);
    }
}

// If a successor serves and both connections are open, stores the buffered bytes in the state and returns
// true. To be called between two steps only.
bool Relay::prepareHandover() {
    if (connections_.client.inputEnded() || connections_.upstream.inputEnded()) return false;
    if (connections_.successor == nullptr || !connections_.successor->isServing()) return false;
    if (endNotice_ != EndNotice::None) return false;
    state_.fromClient = connections_.client.input.view();
    state_.fromUpstream = connections_.upstream.input.view();
    return true;
}

// Reads and writes as much as possible without blocking. Returns false if there was no progress, or if a line
// exceeds the maximum length.
bool Relay::step() {
    bool progress = connections_.client.receive();
    if (connections_.client.input.full()) connections_.client.noticeReset();
    progress = connections_.upstream.receive() || progress;
    scanClientLines();
    scanUpstreamLines();
    progress =
        connections_.upstream.sendFrom(connections_.client.input, state_.completeClientBytes) || progress;
    progress =
        connections_.client.sendFrom(connections_.upstream.input, state_.completeUpstreamBytes) || progress;
    return progress && !overlongLine_;
}

void Relay::scanClientLines() {
    while (const auto line = firstLine(connections_.client.input.view().substr(state_.completeClientBytes))) {
        state_.completeClientBytes += line->bytes;
        ++metrics_.linesToEndpoints;
        if (state_.unansweredSince == kNever) state_.unansweredSince = now();
    }
    if (exceedsMaxLineLength(connections_.client.input.view().substr(state_.completeClientBytes)))
        overlongLine_ = true;
}

void Relay::scanUpstreamLines() {
    while (const auto line =
               firstLine(connections_.upstream.input.view().substr(state_.completeUpstreamBytes))) {
        state_.completeUpstreamBytes += line->bytes;
        ++metrics_.linesToClients;
        handleUpstreamLine(line->text);
    }
    if (exceedsMaxLineLength(connections_.upstream.input.view().substr(state_.completeUpstreamBytes)))
        overlongLine_ = true;
}

void Relay::handleUpstreamLine(std::string_view line) {
    const auto [word, rest] = firstWord(line);
    if (word == keyword::kLoad) {
        if (const auto figure = parseReportedValue(rest)) tracker_.loadLineReceived(trackedRequest_, *figure);
        return;
    }
    if (word == keyword::kUp) return;
    if (word == keyword::kBye) {
        endNotice_ = EndNotice::Completed;
        finalLoad_ = parseLoadReport(rest);
    } else if (word == keyword::kMove) {
        if (endNotice_ != EndNotice::Migrate) tracker_.endpointSentMove(trackedRequest_.endpoint());
        endNotice_ = EndNotice::Migrate;
    }
    if (state_.unansweredSince == kNever) return;
    tracker_.messageDelayMeasured(trackedRequest_, now() - state_.unansweredSince);
    state_.unansweredSince = kNever;
}

void Relay::reportUpstreamEnd() {
    switch (endNotice_) {
        case EndNotice::Completed:
            ++metrics_.completed;
            tracker_.connectionEnded(trackedRequest_, Outcome::Ok, finalLoad_);
            return;
        case EndNotice::Migrate:
            ++metrics_.movedByEndpoint;
            tracker_.connectionEnded(trackedRequest_, Outcome::Cancelled, std::nullopt);
            return;
        case EndNotice::None:
            ++metrics_.resetByEndpoint;
            tracker_.connectionEnded(trackedRequest_, Outcome::Reset, std::nullopt);
            return;
    }
}

// Sends the remaining upstream input to the client and ends the client's connection in the way in which the
// endpoint ended its own: if the endpoint reset the connection without a notice, the client gets a reset too.
Task<void> Relay::closeAfterUpstreamEnd() {
    const bool reset = connections_.upstream.broken;
    reportUpstreamEnd();
    connections_.upstream.socket.close();
    const std::string rest(connections_.upstream.input.view());
    connections_.upstream.input.consume(rest.size());
    if (reset && endNotice_ == EndNotice::None) {
        std::size_t sent = 0;
        connections_.client.send(rest, sent);
        connections_.client.socket.reset();
        co_return;
    }
    co_await closeWithFinalLine(connections_, rest);
}

// Sends the remaining client input to the endpoint and ends the upstream connection in the way in which the
// client ended its own. Until kCloseTimeout, the lines that the endpoint still sends are relayed.
Task<void> Relay::closeAfterClientEnd() {
    ++metrics_.closedByClient;
    if (connections_.client.broken) {
        tracker_.connectionEnded(trackedRequest_, Outcome::Cancelled, std::nullopt);
        connections_.upstream.socket.reset();
        co_return;
    }
    const Time deadline = now() + kCloseTimeout;
    bool sendingFinished = false;
    while (!connections_.upstream.inputEnded() && !connections_.client.broken && now() < deadline) {
        if (connections_.client.input.empty() || sendingFinished) {
            if (!std::exchange(sendingFinished, true)) connections_.upstream.socket.shutdownSend();
        } else {
            std::size_t all = connections_.client.input.size();
            connections_.upstream.sendFrom(connections_.client.input, all);
        }
        connections_.upstream.receive();
        scanUpstreamLines();
        connections_.client.sendFrom(connections_.upstream.input, state_.completeUpstreamBytes);
        if (!connections_.upstream.inputEnded() && !(connections_.client.input.empty() && !sendingFinished))
            co_await connections_.signal.wait(deadline);
    }
    const Outcome outcome = endNotice_ == EndNotice::Completed ? Outcome::Ok : Outcome::Cancelled;
    tracker_.connectionEnded(trackedRequest_, outcome, finalLoad_);
}

// Sends the complete upstream lines and then MOVE to the client, and closes both connections.
Task<void> Relay::migrate() {
    connections_.upstream.socket.close();
    connections_.upstream.input.truncate(state_.completeUpstreamBytes);
    connections_.upstream.input.append(fixed_line::kMove);
    const std::string rest(connections_.upstream.input.view());
    connections_.upstream.input.consume(rest.size());
    co_await closeWithFinalLine(connections_, rest);
}

}  // namespace ivyreel
