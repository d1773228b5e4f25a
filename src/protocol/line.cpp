#include "protocol/line.hpp"

#include <algorithm>

#include "protocol/keywords.hpp"
#include "protocol/load_values.hpp"
#include "util/number_parsing.hpp"

namespace ivyreel {

namespace {

constexpr std::size_t kOpeningWords = 4;    // OPEN, id, key, attributes
constexpr std::size_t kMaxAttributes = 64;  // bounds the memory and the time that one line takes
constexpr std::size_t kMaxHexDigits = 16;
constexpr int kHexadecimal = 16;
constexpr std::chrono::microseconds::rep kMicrosPerMilli = 1000;

std::optional<std::uint64_t> parseHex(std::string_view text) {
    if (text.size() > kMaxHexDigits) return std::nullopt;
    return parseNumber<std::uint64_t>(text, kHexadecimal);
}

bool isPrintable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

}  // namespace

std::optional<Line> firstLine(std::string_view input) {
    const std::size_t end = input.substr(0, kMaxLineBytes).find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    std::string_view text = input.substr(0, end);
    if (text.ends_with('\r')) text.remove_suffix(1);
    return Line{text, end + 1};
}

bool exceedsMaxLineLength(std::string_view input) {
    return input.size() >= kMaxLineBytes && !firstLine(input);
}

std::pair<std::string_view, std::string_view> firstWord(std::string_view line) {
    const std::size_t space = line.find(' ');
    if (space == std::string_view::npos) return {line, {}};
    return {line.substr(0, space), line.substr(space + 1)};
}

std::optional<OpeningLine> OpeningLine::parse(std::string_view line) {
    OpeningLine opening;
    opening.text_ = std::string(line);
    const std::string_view text = opening.text_;
    std::vector<Span> words;
    for (std::size_t begin = 0; begin <= text.size();) {
        const std::size_t end = std::min(text.find(' ', begin), text.size());
        words.push_back({begin, end - begin});
        begin = end + 1;
    }
    if (words.size() != kOpeningWords || opening.part(words[0]) != keyword::kOpen) return std::nullopt;
    const auto id = parseHex(opening.part(words[1]));
    if (!id || !parseHex(opening.part(words[2]))) return std::nullopt;
    if (!isPrintable(text)) return std::nullopt;
    opening.id_ = *id;
    opening.key_ = words[2];
    if (!opening.parseAttributes(words[3])) return std::nullopt;
    return opening;
}

// Parses "name=value,name=value". Returns false if the list is malformed, has the same attribute twice
// or more than kMaxAttributes.
bool OpeningLine::parseAttributes(Span list) {
    const std::string_view text = text_;
    const std::size_t listEnd = list.begin + list.size;
    for (std::size_t begin = list.begin; begin < listEnd;) {
        const std::size_t end = std::min(text.find(',', begin), listEnd);
        const std::size_t equals = text.find('=', begin);
        if (equals == std::string_view::npos || equals >= end || equals == begin) return false;
        const Span name{begin, equals - begin};
        if (attributes_.size() == kMaxAttributes || has(part(name))) return false;
        attributes_.push_back({name, Span{equals + 1, end - equals - 1}});
        begin = end + 1;
    }
    return true;
}

std::string_view OpeningLine::value(std::string_view attribute) const {
    for (const Attribute& candidate : attributes_) {
        if (part(candidate.name) == attribute) return part(candidate.value);
    }
    return {};
}

bool OpeningLine::has(std::string_view attribute) const {
    return std::any_of(attributes_.begin(), attributes_.end(),
                       [&](const Attribute& candidate) { return part(candidate.name) == attribute; });
}

std::optional<double> OpeningLine::number(std::string_view attribute) const {
    return parseFiniteNumber(value(attribute));
}

std::optional<double> OpeningLine::loadHint() const {
    return parseLoadHint(value(opening_attribute::kLoadHint));
}

std::string OpeningLine::withTimeout(std::chrono::microseconds timeout) const {
    const auto milliseconds = std::max<std::chrono::microseconds::rep>(0, timeout.count() / kMicrosPerMilli);
    std::string line = text_;
    for (const Attribute& attribute : attributes_) {
        if (part(attribute.name) == opening_attribute::kTimeout)
            line.replace(attribute.value.begin, attribute.value.size, std::to_string(milliseconds));
    }
    return line.append(kLineEnd);
}

}  // namespace ivyreel
