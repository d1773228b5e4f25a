#include "membership/membership_call.hpp"

#include <cctype>
#include <exception>
#include <string_view>
#include <utility>

namespace ivyreel {

namespace {

constexpr std::size_t kMaxMessageBytes = 16UL * 1024 * 1024;
constexpr int kHttpOk = 200;

std::string requestFor(const Address& discovery, std::uint64_t knownVersion) {
    return "GET /catalog/members?follow=1&since=" + std::to_string(knownVersion) +
           " HTTP/1.1\r\nHost: " + discovery.text() + "\r\n\r\n";
}

bool isSpace(char c) {
    return std::isspace(static_cast<unsigned char>(c)) != 0;
}

}  // namespace

MembershipCall::MembershipCall(Signal& signal, const Address& discovery, std::uint64_t knownVersion)
    : startedAt_(signal.scheduler().now()), request_(requestFor(discovery, knownVersion)) {
    connect(signal, discovery);
}

void MembershipCall::connect(Signal& signal, const Address& discovery) {
    try {
        connection_ = Connection{Socket::connectTo(signal, discovery)};
    } catch (const std::exception& error) {
        fail(CallFailure::Unreachable, error.what());
    }
}

bool MembershipCall::advance() {
    if (state_ == State::Connecting) checkConnection();
    if (state_ == State::Connecting || state_ == State::Failed) return false;
    return transferData();
}

void MembershipCall::checkConnection() {
    switch (connection_.socket.connectState()) {
        case Socket::ConnectState::Pending:
            return;
        case Socket::ConnectState::Failed:
            fail(CallFailure::Unreachable, "cannot connect to discovery");
            return;
        case Socket::ConnectState::Done:
            state_ = State::AwaitingResponse;
            return;
    }
}

bool MembershipCall::transferData() {
    connection_.send(request_, sent_);
    const bool received = connection_.receive();
    try {
        readResponse();
    } catch (const std::exception& error) {
        fail(CallFailure::MalformedResponse, error.what());
    }
    if (state_ != State::Failed) checkForEnd(received);
    return received;
}

void MembershipCall::readResponse() {
    response_.consume(connection_.input, body_);
    if (response_.headersComplete() && response_.status() != kHttpOk) {
        fail(CallFailure::Overloaded,
             "discovery responded with status " + std::to_string(response_.status()));
        return;
    }
    readBody();
    if (body_.size() > kMaxMessageBytes)
        throw MembershipUpdateError("message from discovery is longer than 16 MiB");
}

// Called after readResponse(), so that messages that arrived together with the end are not lost.
void MembershipCall::checkForEnd(bool received) {
    const bool watching = state_ == State::Watching;
    const CallFailure kind = watching ? CallFailure::WatchEnded : CallFailure::Overloaded;
    const std::string what = watching ? "the watch" : "the call";
    if (response_.complete()) {
        fail(kind, "discovery closed " + what);
    } else if (connection_.inputEnded() && !received) {
        fail(kind, what + " was disconnected");
    }
}

// Extracts the complete JSON objects from the body, and the empty lines between them, which are heartbeats.
void MembershipCall::readBody() {
    std::size_t begin = 0;
    for (;;) {
        for (; begin < body_.size() && isSpace(body_[begin]); ++begin) {
            if (body_[begin] == '\n') messages_.emplace_back(std::nullopt);
        }
        const std::string_view rest = std::string_view(body_).substr(begin);
        if (rest.empty()) break;
        if (rest.front() != '{') throw MembershipUpdateError("message from discovery is not a JSON object");
        const std::optional<std::size_t> end = scanner_.findEnd(rest);
        if (!end) break;
        messages_.emplace_back(MembershipUpdate::parse(rest.substr(0, *end)));
        begin += *end;
    }
    body_.erase(0, begin);
    if (!messages_.empty()) state_ = State::Watching;
}

std::vector<WatchMessage> MembershipCall::takeMessages() {
    return std::exchange(messages_, {});
}

void MembershipCall::fail(CallFailure kind, std::string reason) {
    state_ = State::Failed;
    failure_ = {kind, std::move(reason)};
    connection_ = Connection{};
}

}  // namespace ivyreel
