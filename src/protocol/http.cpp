#include "protocol/http.hpp"

#include <algorithm>
#include <cctype>

#include "protocol/line.hpp"
#include "util/number_parsing.hpp"

namespace ivyreel {

namespace {

constexpr std::size_t kMaxHeaders = 100;
constexpr std::size_t kMaxChunkBytes = 64UL * 1024 * 1024;
constexpr std::size_t kMaxRequestBodyBytes = 4096;  // no request that the node serves needs a body
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

bool equalsIgnoringCase(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view text) {
    constexpr std::string_view kBlanks = " \t";
    const std::size_t begin = text.find_first_not_of(kBlanks);
    if (begin == std::string_view::npos) return {};
    return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

}  // namespace

std::size_t HttpMessageParser::numberOrThrow(std::string_view text, int base) const {
    const auto value = parseNumber<std::size_t>(text, base);
    if (!value || *value > maxPartBytes_)
        throw HttpError("Content-Length, chunk size or status code is not a number from 0 to " +
                        std::to_string(maxPartBytes_));
    return *value;
}

void HttpMessageParser::consume(Buffer& input, std::string& body) {
    while (step(input, body)) {
    }
}

// Parses the next part of the message. Returns false if more input is needed or the message is complete.
bool HttpMessageParser::step(Buffer& input, std::string& body) {
    switch (state_) {
        case State::Complete:
            return false;
        case State::ChunkData:
        case State::SizedBody:
            return readBody(input, body);
        case State::BodyUntilClose:
            body.append(input.view());
            input.consume(input.size());
            return false;
        default:
            return readLine(input);
    }
}

bool HttpMessageParser::readLine(Buffer& input) {
    const auto line = firstLine(input.view());
    if (!line) {
        if (exceedsMaxLineLength(input.view()))
            throw HttpError("line is longer than " + std::to_string(kMaxLineBytes) + " bytes");
        return false;
    }
    parseLine(line->text);
    input.consume(line->bytes);
    return true;
}

bool HttpMessageParser::readBody(Buffer& input, std::string& body) {
    const std::size_t count = std::min(remainingBytes_, input.size());
    body.append(input.view().substr(0, count));
    input.consume(count);
    remainingBytes_ -= count;
    if (remainingBytes_ > 0) return false;
    state_ = state_ == State::ChunkData ? State::ChunkEnd : State::Complete;
    return true;
}

void HttpMessageParser::parseLine(std::string_view line) {
    switch (state_) {
        case State::StartLine:
            parseStartLine(line);
            state_ = State::Headers;
            return;
        case State::Headers:
            if (!line.empty()) return parseHeader(line);
            state_ = stateAfterHeaders();
            return;
        case State::ChunkSize:
            return parseChunkSize(line);
        case State::ChunkEnd:
            if (!line.empty()) throw HttpError("chunk data is longer than the stated chunk size");
            state_ = State::ChunkSize;
            return;
        case State::Trailers:
            if (line.empty()) state_ = State::Complete;
            return;
        default:
            return;
    }
}

HttpMessageParser::State HttpMessageParser::stateAfterHeaders() const {
    if (chunked_) return State::ChunkSize;
    if (hasContentLength_) return remainingBytes_ > 0 ? State::SizedBody : State::Complete;
    return undelimitedBody_ == UndelimitedBody::UntilClose ? State::BodyUntilClose : State::Complete;
}

// Parses a chunk size in hexadecimal digits and ignores the chunk extensions after it.
void HttpMessageParser::parseChunkSize(std::string_view line) {
    remainingBytes_ = numberOrThrow(trimmed(line.substr(0, line.find(';'))), kHexadecimal);
    state_ = remainingBytes_ > 0 ? State::ChunkData : State::Trailers;
}

void HttpMessageParser::parseHeader(std::string_view line) {
    if (++headerCount_ > kMaxHeaders)
        throw HttpError("more than " + std::to_string(kMaxHeaders) + " header lines");
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) throw HttpError("header line has no colon");
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (equalsIgnoringCase(name, "Transfer-Encoding")) {
        if (!equalsIgnoringCase(value, "chunked"))
            throw HttpError("unsupported transfer coding: only chunked is supported");
        chunked_ = true;
    } else if (equalsIgnoringCase(name, "Content-Length")) {
        remainingBytes_ = numberOrThrow(value, kDecimal);
        hasContentLength_ = true;
    }
}

HttpResponseParser::HttpResponseParser() : HttpMessageParser(UndelimitedBody::UntilClose, kMaxChunkBytes) {}

void HttpResponseParser::parseStartLine(std::string_view line) {
    const auto [protocol, rest] = firstWord(line);
    if (!protocol.starts_with("HTTP/1.")) throw HttpError("start line is not a status line of HTTP/1.x");
    status_ = static_cast<int>(numberOrThrow(firstWord(rest).first, kDecimal));
}

HttpRequestParser::HttpRequestParser() : HttpMessageParser(UndelimitedBody::None, kMaxRequestBodyBytes) {}

void HttpRequestParser::parseStartLine(std::string_view line) {
    const auto [method, rest] = firstWord(line);
    const auto [target, protocol] = firstWord(rest);
    if (method.empty() || !target.starts_with('/') || !protocol.starts_with("HTTP/1."))
        throw HttpError("start line is not a request line of HTTP/1.x");
    method_ = method;
    target_ = target;
}

}  // namespace ivyreel
