// Incremental parsers for HTTP/1.1 requests and responses.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

#include "io/buffer.hpp"

namespace ivyreel {

// A message that violates the protocol or exceeds a limit of its parser.
class HttpError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// The common base of both parsers: a start line, headers, and a body, whose chunks are concatenated.
class HttpMessageParser {
  public:
    virtual ~HttpMessageParser() = default;
    HttpMessageParser(const HttpMessageParser&) = delete;
    HttpMessageParser& operator=(const HttpMessageParser&) = delete;
    HttpMessageParser(HttpMessageParser&&) = delete;
    HttpMessageParser& operator=(HttpMessageParser&&) = delete;

    // Consumes as much of `input` as can be parsed and appends the bytes of the body to `body`. Throws
    // HttpError.
    void consume(Buffer& input, std::string& body);

    // Whether the start line and all headers have been parsed.
    bool headersComplete() const { return state_ != State::StartLine && state_ != State::Headers; }
    // Whether the whole message has been parsed. A message whose body ends with the connection is never
    // complete.
    bool complete() const { return state_ == State::Complete; }

  protected:
    // Whether a message that states no body length has a body that ends with the connection, or no body.
    enum class UndelimitedBody { UntilClose, None };

    HttpMessageParser(UndelimitedBody undelimitedBody, std::size_t maxPartBytes)
        : undelimitedBody_(undelimitedBody), maxPartBytes_(maxPartBytes) {}
    // Parses the first line of the message. Throws HttpError.
    virtual void parseStartLine(std::string_view line) = 0;
    // Parses a length or a status code, at most maxPartBytes. Throws HttpError.
    std::size_t numberOrThrow(std::string_view text, int base) const;

  private:
    enum class State {
        StartLine,
        Headers,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailers,
        SizedBody,
        BodyUntilClose,
        Complete,
    };

    bool step(Buffer& input, std::string& body);
    bool readLine(Buffer& input);
    bool readBody(Buffer& input, std::string& body);
    void parseLine(std::string_view line);
    void parseHeader(std::string_view line);
    void parseChunkSize(std::string_view line);
    State stateAfterHeaders() const;

    UndelimitedBody undelimitedBody_;
    std::size_t maxPartBytes_;  // limit of a chunk, and of a body with Content-Length
    State state_ = State::StartLine;
    bool chunked_ = false;
    bool hasContentLength_ = false;
    std::size_t remainingBytes_ = 0;  // of the current chunk, or of the body
    std::size_t headerCount_ = 0;
};

// Parses a response. A body without a stated length ends with the connection.
class HttpResponseParser final : public HttpMessageParser {
  public:
    HttpResponseParser();
    int status() const { return status_; }

  private:
    void parseStartLine(std::string_view line) override;
    int status_ = 0;
};

// Parses a request. A request without a stated length has no body.
class HttpRequestParser final : public HttpMessageParser {
  public:
    HttpRequestParser();
    const std::string& method() const { return method_; }
    const std::string& target() const { return target_; }

  private:
    void parseStartLine(std::string_view line) override;
    std::string method_;
    std::string target_;
};

}  // namespace ivyreel
