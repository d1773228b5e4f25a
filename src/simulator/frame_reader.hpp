// Reads the simulator's frames: little-endian and bounds-checked.
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

// Malformed input; the message names its offset in the frame.
class WireError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// Reads fields from a part of a frame, one after another. All functions throw WireError where the part ends
// before the field.
class FrameReader {
  public:
    // `offsetInFrame` is the offset of the part in its frame, for error messages.
    FrameReader(std::span<const std::uint8_t> bytes, std::size_t offsetInFrame)
        : bytes_(bytes), offsetInFrame_(offsetInFrame) {}

    std::uint8_t u8() { return static_cast<std::uint8_t>(readInteger(1)); }
    std::uint16_t u16() { return static_cast<std::uint16_t>(readInteger(2)); }
    std::uint32_t u32() { return static_cast<std::uint32_t>(readInteger(4)); }
    std::uint64_t u64() { return readInteger(8); }
    float f32();
    EndpointId endpoint();
    std::span<const std::uint8_t> bytes(std::size_t count);
    // A reader of the next bytes, which this one skips.
    FrameReader subReader(std::size_t count);

    std::size_t remaining() const { return bytes_.size() - position_; }
    // Throws WireError if anything remains.
    void expectEnd() const;
    // Throws WireError with this message and the present offset.
    [[noreturn]] void throwError(const std::string& message) const;

  private:
    std::uint64_t readInteger(std::size_t width);
    std::size_t offset() const { return offsetInFrame_ + position_; }

    std::span<const std::uint8_t> bytes_;
    std::size_t offsetInFrame_;
    std::size_t position_ = 0;
};

// Reads the next whole frame, header included. False at a clean end of input; a truncated frame is a
// WireError.
bool readFrame(std::istream& in, std::vector<std::uint8_t>& frame);

}  // namespace ivyreel::simulator
