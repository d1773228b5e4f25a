#include "simulator/frame_reader.hpp"

#include <algorithm>
#include <bit>
#include <istream>

#include "simulator/protocol_codes.hpp"

namespace ivyreel::simulator {

namespace {

constexpr std::size_t kReadStepBytes =
    1U << 20U;  // memory grows with what arrives, not with what a header claims

// Reads until the frame has `wanted` bytes or the input ends. Returns how many bytes the frame has then.
std::size_t readUpTo(std::istream& in, std::vector<std::uint8_t>& frame, std::size_t wanted) {
    std::size_t size = frame.size();
    while (size < wanted) {
        const std::size_t step = std::min(kReadStepBytes, wanted - size);
        frame.resize(size + step);
        in.read(reinterpret_cast<char*>(frame.data() + size), static_cast<std::streamsize>(step));
        size += static_cast<std::size_t>(in.gcount());
        frame.resize(size);
        if (!in) break;
    }
    return size;
}

}  // namespace

std::uint64_t FrameReader::readInteger(std::size_t width) {
    const auto raw = bytes(width);
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < width; ++i) {
        value |= static_cast<std::uint64_t>(raw[i]) << (8 * i);
    }
    return value;
}

float FrameReader::f32() {
    return std::bit_cast<float>(u32());
}

// Address bytes first, then the port: kept in wire order, so that writing them back is exact.
EndpointId FrameReader::endpoint() {
    return EndpointId{readInteger(kEndpointBytes)};
}

std::span<const std::uint8_t> FrameReader::bytes(std::size_t count) {
    if (count > remaining()) {
        throwError("needs " + std::to_string(count) + " bytes, has " + std::to_string(remaining()));
    }
    const auto result = bytes_.subspan(position_, count);
    position_ += count;
    return result;
}

FrameReader FrameReader::subReader(std::size_t count) {
    const std::size_t start = offset();
    return FrameReader{bytes(count), start};
}

void FrameReader::expectEnd() const {
    if (remaining() != 0) throwError(std::to_string(remaining()) + " bytes too many");
}

void FrameReader::throwError(const std::string& message) const {
    throw WireError("malformed input at offset " + std::to_string(offset()) + ": " + message);
}

bool readFrame(std::istream& in, std::vector<std::uint8_t>& frame) {
    frame.clear();
    const std::size_t size = readUpTo(in, frame, kFrameLengthBytes);
    if (size == 0) return false;
    if (size < kFrameLengthBytes)
        throw WireError("malformed input at offset " + std::to_string(size) + ": frame length cut off");
    const std::size_t length = FrameReader{frame, 0}.u32();
    if (length < kFrameHeaderBytes - kFrameLengthBytes) {
        throw WireError("malformed input at offset 0: frame length " + std::to_string(length) +
                        " is shorter than its header");
    }
    const std::size_t total = kFrameLengthBytes + length;
    if (readUpTo(in, frame, total) < total) {
        throw WireError("malformed input at offset " + std::to_string(frame.size()) + ": frame of " +
                        std::to_string(total) + " bytes cut off");
    }
    return true;
}

}  // namespace ivyreel::simulator
