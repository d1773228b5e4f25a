#include "simulator/reply_writer.hpp"

#include <algorithm>
#include <limits>
#include <variant>

namespace ivyreel::simulator {

namespace {

constexpr std::size_t kRequestBytes = 8;
constexpr std::size_t kDurationBytes = 4;
constexpr std::size_t kTimerTokenBytes = 4;
constexpr std::size_t kCountBytes = 4;
constexpr std::size_t kTextLengthBytes = 2;

}  // namespace

ReplyWriter::ReplyWriter() : bytes_(kReplyHeaderBytes, 0) {}

void ReplyWriter::selectNode(std::uint16_t node) {
    if (selectedNode_ == node) return;
    selectedNode_ = node;
    beginRecord(ActionCode::For, sizeof node);
    writeInteger(node, sizeof node);
}

void ReplyWriter::writeAction(const Action& action) {
    std::visit([this](const auto& alternative) { encode(alternative); }, action);
}

void ReplyWriter::writeFailure(std::string_view message) {
    writeTextRecord(ActionCode::Die, message);
}

std::span<const std::uint8_t> ReplyWriter::finish() {
    writeHeaderField(0, bytes_.size() - kFrameLengthBytes);
    writeHeaderField(kFrameLengthBytes, records_);
    return bytes_;
}

void ReplyWriter::encode(const StartAttempt& action) {
    beginRequestRecord(ActionCode::Transmit, action.request, kEndpointBytes + kDurationBytes);
    writeEndpoint(action.endpoint);
    writeDuration(action.timeout);
}

void ReplyWriter::encode(const RejectRequest& action) {
    beginRequestRecord(ActionCode::TurnAway, action.request, kDurationBytes);
    writeDuration(action.retryAfter);
}

void ReplyWriter::encode(const FailRequest& action) {
    beginRequestRecord(ActionCode::Error, action.request, 0);
}

void ReplyWriter::encode(const CancelAttempt& action) {
    beginRequestRecord(ActionCode::Withdraw, action.request, 1);
    writeInteger(static_cast<std::uint8_t>(action.attempt), 1);
}

void ReplyWriter::encode(const MigrateConnection& action) {
    beginRequestRecord(ActionCode::GoAway, action.request, 0);
}

void ReplyWriter::encode(const StartHealthCheck& action) {
    beginRecord(ActionCode::HealthCheck, kEndpointBytes);
    writeEndpoint(action.endpoint);
}

void ReplyWriter::encode(const WatchEndpoints& /*action*/) {
    beginRecord(ActionCode::Observe, 1);
    writeInteger(1, 1);
}

void ReplyWriter::encode(const SetTimer& action) {
    beginRecord(ActionCode::Timer, kDurationBytes + kTimerTokenBytes);
    writeDuration(action.after);
    writeInteger(static_cast<std::uint32_t>(action.token), kTimerTokenBytes);
}

void ReplyWriter::encode(const Log& action) {
    writeTextRecord(ActionCode::NoteDown, action.text);
}

void ReplyWriter::beginRecord(ActionCode code, std::size_t fieldBytes) {
    ++records_;
    writeInteger(static_cast<std::uint8_t>(code), 1);
    writeInteger(fieldBytes, kCountBytes);
}

void ReplyWriter::beginRequestRecord(ActionCode code, RequestId request, std::size_t furtherBytes) {
    beginRecord(code, kRequestBytes + furtherBytes);
    writeInteger(static_cast<std::uint64_t>(request), kRequestBytes);
}

void ReplyWriter::writeTextRecord(ActionCode code, std::string_view text) {
    text = text.substr(0, std::numeric_limits<std::uint16_t>::max());
    beginRecord(code, kTextLengthBytes + text.size());
    writeInteger(text.size(), kTextLengthBytes);
    bytes_.insert(bytes_.end(), text.begin(), text.end());
}

void ReplyWriter::writeInteger(std::uint64_t value, std::size_t width) {
    for (std::size_t i = 0; i < width; ++i) {
        bytes_.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
    }
}

void ReplyWriter::writeEndpoint(EndpointId id) {
    writeInteger(static_cast<std::uint64_t>(id), kEndpointBytes);
}

// Writes microseconds, clamped to the range of the field.
void ReplyWriter::writeDuration(Micros value) {
    constexpr Micros::rep kMax = std::numeric_limits<std::uint32_t>::max();
    writeInteger(static_cast<std::uint64_t>(std::clamp<Micros::rep>(value.count(), 0, kMax)), kDurationBytes);
}

void ReplyWriter::writeHeaderField(std::size_t position, std::uint64_t value) {
    for (std::size_t i = 0; i < kCountBytes; ++i) {
        bytes_[position + i] = static_cast<std::uint8_t>(value >> (8 * i));
    }
}

}  // namespace ivyreel::simulator
