#include "proxy/connection_attempt.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdint>
#include <system_error>

#include "protocol/keywords.hpp"
#include "proxy/endpoint_connector.hpp"
#include "requests/load_report_parser.hpp"

namespace ivyreel {

ConnectionAttempt::ConnectionAttempt(const EndpointConnector& connector, const RequestTracker& tracker,
                                     Metrics& metrics, ConnectionPair& connections,
                                     const TrackedRequest& trackedRequest, const OpeningLine& opening,
                                     const AttemptTarget& target, RequestClassMetrics& classMetrics)
    : connector_(connector),
      tracker_(tracker),
      metrics_(metrics),
      connections_(connections),
      trackedRequest_(trackedRequest),
      opening_(opening),
      target_(target),
      classMetrics_(classMetrics),
      start_(now()),
      answerDeadline_(start_ + target.timeout),
      connectDeadline_(std::min(answerDeadline_, start_ + tracker.connectTimeout())),
      polledAt_(start_) {}

std::optional<AttemptResult> ConnectionAttempt::start() {
    address_ = connector_.addressOf(target_.endpoint);
    if (!address_) return closeAsFailed(Outcome::ConnectFailed);
    try {
        connections_.upstream = Connection{Socket::connectTo(connections_.signal, *address_)};
    } catch (const std::system_error& error) {
        spdlog::warn("cannot connect to endpoint at {}: {}", address_->text(), error.what());
        return closeAsFailed(Outcome::ConnectFailed);
    }
    return std::nullopt;
}

// The order of the checks sets the result when several conditions hold at the same time: a newer decision
// comes first, then the client, then the endpoint, then the deadline.
std::optional<AttemptResult> ConnectionAttempt::poll() {
    polledAt_ = now();
    if (trackedRequest_.hasPendingDecision() || (target_.resumed && connections_.migrationRequested))
        return closeWithoutOutcome(AttemptResult::Kind::Cancelled);
    connections_.client.receive();
    if (connections_.clientEndedRequest())
        return closeWithoutOutcome(AttemptResult::Kind::ClientEndedRequest);
    if (!connected_) {
        if (const auto result = checkConnect()) return result;
    }
    if (connected_) {
        if (const auto result = exchange()) return result;
    }
    if (polledAt_ < deadline()) return std::nullopt;
    return closeAsFailed(openingSent() ? Outcome::Timeout : Outcome::ConnectFailed);
}

std::optional<AttemptResult> ConnectionAttempt::checkConnect() {
    const Socket::ConnectState state = connections_.upstream.socket.connectState();
    if (state == Socket::ConnectState::Failed) return closeAsFailed(Outcome::ConnectFailed);
    connected_ = state == Socket::ConnectState::Done;
    if (!connected_) return std::nullopt;
    return prepareOpening();
}

// Checks again, right before the first byte is sent, that the endpoint is eligible and has the same address:
// either may have changed while the connection was being established.
std::optional<AttemptResult> ConnectionAttempt::prepareOpening() {
    connections_.upstream.receive();
    // The endpoint ended the connection before the opening line.
    if (connections_.upstream.inputEnded()) return closeAsFailed(Outcome::ConnectFailed);
    const bool isAttemptStillValid =
        target_.resumed || tracker_.isAttemptStillValid(trackedRequest_, target_.endpoint);
    if (!isAttemptStillValid || connector_.addressOf(target_.endpoint) != address_) {
        ++metrics_.notSent;
        return closeAsFailed(Outcome::NotSent);
    }
    openingText_ = opening_.withTimeout(answerDeadline_ - polledAt_);
    ++metrics_.attempts;
    return std::nullopt;
}

std::optional<AttemptResult> ConnectionAttempt::exchange() {
    Connection& upstream = connections_.upstream;
    sendOpening();
    upstream.receive();
    if (const auto line = firstLine(upstream.input.view())) return handleAnswer(*line);
    if (exceedsMaxLineLength(upstream.input.view())) return closeAsFailed(Outcome::Error);
    if (upstream.inputEnded()) return closeAsFailed(openingSent() ? Outcome::Reset : Outcome::ConnectFailed);
    return std::nullopt;
}

void ConnectionAttempt::sendOpening() {
    const bool sentBefore = openingSent();
    connections_.upstream.send(openingText_, sentBytes_);
    if (sentBefore || !openingSent()) return;
    ++classMetrics_.sends;
    spdlog::debug("sent request {:016x} class={} to endpoint {:016x}, attempt {}{}", opening_.id(),
                  opening_.value(opening_attribute::kRequestClass),
                  static_cast<std::uint64_t>(target_.endpoint), trackedRequest_.attempts(),
                  target_.resumed ? ", resumed" : "");
}

AttemptResult ConnectionAttempt::handleAnswer(const Line& answer) {
    const auto [word, rest] = firstWord(answer.text);
    if (word == keyword::kUp && openingSent())
        return {AttemptResult::Kind::Up, Outcome::Ok, polledAt_ - start_, std::nullopt};
    const auto load = parseLoadReport(rest);
    return closeAsFailed(word == keyword::kBusy ? Outcome::Rejected : Outcome::Error, load);
}

AttemptResult ConnectionAttempt::closeWithoutOutcome(AttemptResult::Kind kind) {
    connections_.upstream = Connection{};
    return {kind, {}, Micros{0}, std::nullopt};
}

AttemptResult ConnectionAttempt::closeAsFailed(Outcome outcome, std::optional<LoadReport> load) {
    connections_.upstream = Connection{};
    return {AttemptResult::Kind::Failed, outcome, now() - start_, load};
}

}  // namespace ivyreel
