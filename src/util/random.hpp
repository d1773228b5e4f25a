// Pseudo-random numbers that are identical on every machine: SplitMix64, and its finaliser as a hash.
#pragma once

#include <cstdint>

namespace ivyreel {

// A 64-bit hash: the finaliser of SplitMix64.
inline std::uint64_t hash64(std::uint64_t x) {
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31U);
}

// Maps the upper 53 bits to the open interval (0, 1).
inline double unitInterval(std::uint64_t x) {
    return (static_cast<double>(x >> 11U) + 0.5) * 0x1.0p-53;
}

// A generator with 64 bits of state; equal seeds give equal sequences.
class SplitMix64 {
  public:
    explicit SplitMix64(std::uint64_t seed) : state_(seed) {}
    std::uint64_t bits() { return hash64(state_ += 0x9e3779b97f4a7c15ULL); }
    double next() { return unitInterval(bits()); }

  private:
    std::uint64_t state_;
};

}  // namespace ivyreel
