// The line protocol: splitting input into lines, and the opening line of a request.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ivyreel {

constexpr std::size_t kMaxLineBytes = 4096;  // including the line end

// A complete line.
struct Line {
    std::string_view text;  // without the line end
    std::size_t bytes = 0;  // including the line end
};

// The first line of the input; none if it is not complete, or longer than kMaxLineBytes.
std::optional<Line> firstLine(std::string_view input);

// Whether the input begins with a line that is longer than kMaxLineBytes.
bool exceedsMaxLineLength(std::string_view input);

// The first word of a line, and what follows the space after it.
std::pair<std::string_view, std::string_view> firstWord(std::string_view line);

// An opening line: "OPEN 9b1f 7f3a c=chat,d=2000". The request id and the flow key have up to 16 hexadecimal
// digits each; the names of the attributes are in protocol/keywords.hpp.
class OpeningLine {
  public:
    // None if the line is malformed.
    static std::optional<OpeningLine> parse(std::string_view line);

    // The request id.
    std::uint64_t id() const { return id_; }
    // The flow key.
    std::string_view key() const { return part(key_); }
    // The value of an attribute; empty if it is absent.
    std::string_view value(std::string_view attribute) const;
    bool has(std::string_view attribute) const;
    // The value of an attribute as a finite number; none if the attribute is absent or not a number.
    std::optional<double> number(std::string_view attribute) const;
    // The load hint in microseconds of work per second; none if it is absent or malformed (load_values.hpp).
    std::optional<double> loadHint() const;

    // The original line with a line end. The value of its timeout attribute, if there is one, is replaced by
    // `timeout` in whole milliseconds, at least 0.
    std::string withTimeout(std::chrono::microseconds timeout) const;

  private:
    // A part of the text. Unlike a string_view, it stays valid when the OpeningLine is moved.
    struct Span {
        std::size_t begin = 0;
        std::size_t size = 0;
    };
    struct Attribute {
        Span name;
        Span value;
    };

    std::string_view part(Span span) const { return std::string_view(text_).substr(span.begin, span.size); }
    bool parseAttributes(Span list);

    std::string text_;
    std::uint64_t id_ = 0;
    Span key_;
    std::vector<Attribute> attributes_;
};

}  // namespace ivyreel
