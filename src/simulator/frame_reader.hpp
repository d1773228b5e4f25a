// Reads the simulator's frames with bounds checks. Integers are little-endian.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <span>
#include <stdexcept>
#include <string>
#include <vector>

#include "decision/types.hpp"

namespace ivyreel::simulator {

// Malformed input, or a reply that cannot be written. For malformed input the message names the offset in the
// frame.
class WireError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// Reads the fields of a part of a frame in sequence. A function that reads a field throws WireError if the
// part ends before the field does.
class FrameReader {
  public:
    // `offsetInFrame` is the offset of the part in its frame, in bytes. It is used in error messages.
    FrameReader(std::span<const std::uint8_t> bytes, std::size_t offsetInFrame)
        : bytes_(bytes), offsetInFrame_(offsetInFrame) {}

    std::uint8_t u8() { return static_cast<std::uint8_t>(readInteger(1)); }
    std::uint16_t u16() { return static_cast<std::uint16_t>(readInteger(2)); }
    std::uint32_t u32() { return static_cast<std::uint32_t>(readInteger(4)); }
    std::uint64_t u64() { return readInteger(8); }
    float f32();
    EndpointId endpoint();
    std::span<const std::uint8_t> bytes(std::size_t count);
    // Returns a reader of the next `count` bytes and skips them.
    FrameReader subReader(std::size_t count);

    std::size_t remaining() const { return bytes_.size() - position_; }
    // Throws WireError if bytes remain.
    void expectEnd() const;
    // Throws WireError with this message and the current offset.
    [[noreturn]] void throwError(const std::string& message) const;

  private:
    std::uint64_t readInteger(std::size_t width);
    std::size_t offset() const { return offsetInFrame_ + position_; }

    std::span<const std::uint8_t> bytes_;
    std::size_t offsetInFrame_;
    std::size_t position_ = 0;
};

// Reads the next complete frame, including its header. Returns false if the input ends before the frame.
// Throws WireError if the input ends within the frame or the frame length is invalid.
bool readFrame(std::istream& in, std::vector<std::uint8_t>& frame);

}  // namespace ivyreel::simulator
