#include "proxy/opening_reader.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "protocol/keywords.hpp"

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

constexpr Micros kOpeningTimeout = 2s;
constexpr Micros kAnsweringPollInterval = 20ms;
constexpr int kMaxLinesBeforeYield = 16;  // health checks answered before yielding to the other coroutines
constexpr double kMaxClientTimeoutMs = 24 * 3600 * 1e3;  // one day

bool hasValidTimeout(const OpeningLine& opening) {
    const auto timeoutMs = opening.number(opening_attribute::kTimeout);
    return timeoutMs && *timeoutMs >= 0 && *timeoutMs <= kMaxClientTimeoutMs;
}

}  // namespace

// Returns why a well-formed opening line is rejected; none if it is valid.
std::optional<InputError> OpeningReader::validate(const OpeningLine& opening) {
    if (!tracker_.knowsRequestClass(opening.value(opening_attribute::kRequestClass)))
        return InputError::UnknownClass;
    const bool resumed = !opening.value(opening_attribute::kCurrentEndpoint).empty();
    if (!resumed && !hasValidTimeout(opening)) return InputError::InvalidNumber;
    if (opening.has(opening_attribute::kLoadHint) && !opening.loadHint()) return InputError::InvalidNumber;
    if (recentRequestIds_.isKnown(opening.id(), scheduler_.now())) return InputError::DuplicateId;
    return std::nullopt;
}

// Parses and validates the line, and removes it from the buffer. Input that is malformed or has an unknown
// class appears in the metrics of no class.
OpeningReader::Validated OpeningReader::takeOpening(Connection& client, const Line& line) {
    std::optional<OpeningLine> opening = OpeningLine::parse(line.text);
    client.input.consume(line.bytes);
    if (!opening) return Rejected{InputError::Malformed};
    const std::optional<InputError> error =
        client.input.empty() ? validate(*opening) : InputError::UnexpectedInput;
    if (!error) return std::move(*opening);
    const std::string_view requestClass = opening->value(opening_attribute::kRequestClass);
    if (!tracker_.knowsRequestClass(requestClass)) return Rejected{*error};
    return Rejected{*error, &metrics_.classes[std::string(requestClass)]};
}

Task<void> OpeningReader::waitUntilAnsweringHealthChecks(ConnectionPair& connections, Time deadline) {
    Connection& client = connections.client;
    while (!answersHealthChecks_ && !client.inputEnded() && !connections.evicted &&
           scheduler_.now() < deadline) {
        co_await connections.signal.wait(scheduler_.now() + kAnsweringPollInterval);
        client.receive();
    }
}

// Whether the wait for an opening line has ended without one. Counts an incomplete opening line or a timeout;
// UnopenedConnections::makeRoom() has counted an eviction. A client that closes without input is not counted.
bool OpeningReader::checkEnd(const ConnectionPair& connections, Time deadline) {
    const Connection& client = connections.client;
    if (client.inputEnded()) {
        if (!client.input.empty()) ++metrics_.incompleteOpenings;
        return true;
    }
    if (connections.evicted) return true;
    if (scheduler_.now() < deadline) return false;
    ++metrics_.openingTimeouts;
    return true;
}

Task<std::optional<OpeningLine>> OpeningReader::read(ConnectionPair& connections) {
    Connection& client = connections.client;
    const Time deadline = scheduler_.now() + kOpeningTimeout;
    int healthChecks = 0;
    for (;;) {
        if (client.receive()) connections.signal.raise();  // more input may be available
        while (const auto line = firstLine(client.input.view())) {
            if (line->text != keyword::kPing) {
                Validated validated = takeOpening(client, *line);
                if (auto* opening = std::get_if<OpeningLine>(&validated)) co_return std::move(*opening);
                const Rejected rejected = std::get<Rejected>(validated);
                co_await responses_.rejectInput(connections, rejected.error, rejected.classMetrics);
                co_return std::nullopt;
            }
            if (++healthChecks % kMaxLinesBeforeYield == 0) {
                connections.signal.raise();
                co_await connections.signal.wait();
            }
            client.input.consume(line->bytes);
            if (!answersHealthChecks_) co_await waitUntilAnsweringHealthChecks(connections, deadline);
            if (!answersHealthChecks_) break;
            std::size_t sent = 0;
            client.send(fixed_line::kPong, sent);
            ++metrics_.pings;
        }
        if (exceedsMaxLineLength(client.input.view())) {
            co_await responses_.rejectInput(connections, InputError::OverlongLine, nullptr);
            co_return std::nullopt;
        }
        if (checkEnd(connections, deadline)) co_return std::nullopt;
        co_await connections.signal.wait(deadline);
    }
}

}  // namespace ivyreel
