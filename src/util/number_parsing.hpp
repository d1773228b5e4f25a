// Parses text that consists of a single number.
#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <system_error>

namespace ivyreel {

// None if the text is not a number, is out of the range of the type, or has other characters around the
// number. `base` is optional for integers; the default is 10.
template <class T, class... Base>
std::optional<T> parseNumber(std::string_view text, Base... base) {
    T value{};
    const char* const textEnd = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), textEnd, value, base...);
    const bool parsed = error == std::errc{} && end == textEnd;
    return parsed ? std::optional(value) : std::nullopt;
}

// Like parseNumber, but none for infinity and "nan", which from_chars accepts.
inline std::optional<double> parseFiniteNumber(std::string_view text) {
    const auto value = parseNumber<double>(text);
    return value && std::isfinite(*value) ? value : std::nullopt;
}

}  // namespace ivyreel
