#include "simulator/frame_reader.hpp"

#include <algorithm>
#include <bit>
#include <istream>

#include "simulator/protocol_codes.hpp"

namespace ivyreel::simulator {

namespace {

// Limits the memory that is allocated for a frame length before the bytes arrive.
constexpr std::size_t kReadStepBytes = 1U << 20U;

// Reads until the frame has `wanted` bytes or the input ends. Returns the resulting size of the frame in
// bytes.
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

// The id contains the address bytes and then the port, in wire order, so that ReplyWriter writes the same
// bytes.
EndpointId FrameReader::endpoint() {
    return EndpointId{readInteger(kEndpointBytes)};
}

std::span<const std::uint8_t> FrameReader::bytes(std::size_t count) {
    if (count > remaining()) {
        throwError("field needs " + std::to_string(count) +
                   " bytes, bytes left: " + std::to_string(remaining()));
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
    if (remaining() != 0) throwError(std::to_string(remaining()) + " unexpected bytes after the last field");
}

void FrameReader::throwError(const std::string& message) const {
    throw WireError("malformed input at offset " + std::to_string(offset()) + ": " + message);
}

bool readFrame(std::istream& in, std::vector<std::uint8_t>& frame) {
    frame.clear();
    const std::size_t size = readUpTo(in, frame, kFrameLengthBytes);
    if (size == 0) return false;
    if (size < kFrameLengthBytes)
        throw WireError("malformed input at offset " + std::to_string(size) +
                        ": input ends within the frame length");
    const std::size_t length = FrameReader{frame, 0}.u32();
    if (length < kFrameHeaderBytes - kFrameLengthBytes) {
        throw WireError("malformed input at offset 0: frame length " + std::to_string(length) +
                        " is less than the header needs");
    }
    const std::size_t total = kFrameLengthBytes + length;
    if (readUpTo(in, frame, total) < total) {
        throw WireError("malformed input at offset " + std::to_string(frame.size()) +
                        ": input ends within a frame of " + std::to_string(total) + " bytes");
    }
    return true;
}

}  // namespace ivyreel::simulator
