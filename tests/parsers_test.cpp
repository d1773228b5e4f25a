// The buffer and the parsers of the node, with input that arrives in pieces, is too long or is invalid.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/node_config.hpp"
#include "io/buffer.hpp"
#include "membership/membership_watcher.hpp"
#include "protocol/http.hpp"
#include "protocol/line.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

void fill(Buffer& buffer, std::string_view text) {
    while (!text.empty()) {
        const auto space = buffer.freeSpace();
        ASSERT_FALSE(space.empty());
        const std::size_t count = std::min(space.size(), text.size());
        std::copy_n(text.begin(), count, space.begin());
        buffer.commit(count);
        text.remove_prefix(count);
    }
}

TEST(Buffer, GrowsToItsLimitAndNotBeyond) {
    Buffer buffer{4096};
    fill(buffer, std::string(4096, 'x'));
    EXPECT_TRUE(buffer.full());
    EXPECT_TRUE(buffer.freeSpace().empty());
    buffer.consume(1000);
    EXPECT_EQ(buffer.size(), 3096U);
    EXPECT_FALSE(buffer.freeSpace().empty());
    EXPECT_LE(buffer.freeSpace().size(), 1000U);
}

TEST(Buffer, KeepsTheOrderThroughCompaction) {
    Buffer buffer{2048};
    std::string expected;
    for (int i = 0; i < 500; ++i) {
        const std::string piece = std::to_string(i) + ",";
        fill(buffer, piece);
        expected += piece;
        if (i % 3 == 0) {
            const std::size_t count = std::min<std::size_t>(7, buffer.size());
            buffer.consume(count);
            expected.erase(0, count);
        }
        ASSERT_EQ(buffer.view(), expected);
        if (expected.size() > 1900) {
            buffer.consume(expected.size());
            expected.clear();
        }
    }
    buffer.truncate(3);
    buffer.append("end");
    EXPECT_EQ(buffer.view(), expected.substr(0, 3) + "end");
}

TEST(Line, IsReadOnceItIsComplete) {
    EXPECT_FALSE(firstLine("OPEN a"));
    const auto line = firstLine("one\r\ntwo\r\n");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->text, "one");
    EXPECT_EQ(line->bytes, 5U);
    EXPECT_EQ(firstLine("bare\nrest")->text, "bare");
    EXPECT_EQ(firstLine("\r\n")->text, "");
}

TEST(Line, IsAtMost4096BytesLongIncludingLineEnd) {
    const std::string longest = std::string(4094, 'x') + "\r\n";
    EXPECT_TRUE(firstLine(longest));
    EXPECT_FALSE(exceedsMaxLineLength(longest));
    const std::string over = std::string(4095, 'x') + "\r\n";
    EXPECT_FALSE(firstLine(over));
    EXPECT_TRUE(exceedsMaxLineLength(over));
    EXPECT_FALSE(exceedsMaxLineLength(std::string(4095, 'x')))
        << "the line end may still arrive within the limit";
}

TEST(OpeningLine, IsUnchangedExceptForTheTimeout) {
    const auto opening = OpeningLine::parse("OPEN 9b1f 7f3a c=chat,d=2000,g=5c0f,h=812.5,again=1");
    ASSERT_TRUE(opening);
    EXPECT_EQ(opening->id(), 0x9b1fU);
    EXPECT_EQ(opening->key(), "7f3a");
    EXPECT_EQ(opening->value("c"), "chat");
    EXPECT_EQ(opening->number("h"), 812.5);
    EXPECT_EQ(opening->value("at"), "");
    EXPECT_FALSE(opening->number("c"));
    EXPECT_EQ(opening->withTimeout(1234567us), "OPEN 9b1f 7f3a c=chat,d=1234,g=5c0f,h=812.5,again=1\r\n");
    EXPECT_EQ(opening->withTimeout(-5ms), "OPEN 9b1f 7f3a c=chat,d=0,g=5c0f,h=812.5,again=1\r\n");
    EXPECT_EQ(OpeningLine::parse("OPEN a b c=x")->withTimeout(1s), "OPEN a b c=x\r\n");
}

TEST(OpeningLine, RejectsMalformedLines) {
    for (const char* line : {"", "OPEN", "OPEN a", "OPEN a b", "OPEN  b c=x", "OPEN a b c", "OPEN a b =x",
                             "OPEN a b c=x d=1", "open a b c=x", "GET / HTTP/1.1", "OPEN a b c=x,,d=1"}) {
        EXPECT_FALSE(OpeningLine::parse(line)) << line;
    }
}

// Guards against late answers to other clients, and memory that grows with the number of clients: each name
// of a line is compared with all names before it, and takes more memory than it has bytes.
TEST(OpeningLine, HasAtMostSixtyFourAttributes) {
    std::string line = "OPEN a b c=x";
    for (int i = 1; i < 64; ++i) {
        line += ",n" + std::to_string(i) + "=";
    }
    EXPECT_TRUE(OpeningLine::parse(line));
    EXPECT_FALSE(OpeningLine::parse(line + ",n64="));
}

std::string bodyOf(std::string_view response, std::size_t pieceBytes) {
    HttpResponseParser parser;
    Buffer input;
    std::string body;
    for (std::size_t at = 0; at < response.size(); at += pieceBytes) {
        fill(input, response.substr(at, pieceBytes));
        parser.consume(input, body);
    }
    return body;
}

TEST(Http, ReadsAChunkedResponseInPiecesOfAnySize) {
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\ntransfer-encoding: Chunked\r\n\r\n"
        "5\r\nhello\r\n1;ext=1\r\n\n\r\nA\r\n0123456789\r\n0\r\n\r\n";
    for (std::size_t piece = 1; piece <= response.size(); ++piece) {
        EXPECT_EQ(bodyOf(response, piece), "hello\n0123456789") << piece;
    }
}

TEST(Http, ReadsResponsesWithContentLengthAndUntilClose) {
    EXPECT_EQ(bodyOf("HTTP/1.1 503 Busy\r\nContent-Length: 3\r\n\r\nabcdef", 4), "abc");
    EXPECT_EQ(bodyOf("HTTP/1.1 200 OK\r\n\r\nabc", 5), "abc");
    HttpResponseParser parser;
    Buffer input;
    std::string body;
    fill(input, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    parser.consume(input, body);
    EXPECT_EQ(parser.status(), 503);
    EXPECT_TRUE(parser.complete());
}

TEST(Http, ReadsARequestInPiecesOfAnySize) {
    const std::string request =
        "POST /-/hosts/s-1/disable HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET";
    for (std::size_t piece = 1; piece <= request.size(); ++piece) {
        HttpRequestParser parser;
        Buffer input;
        std::string body;
        for (std::size_t at = 0; at < request.size(); at += piece) {
            fill(input, std::string_view(request).substr(at, piece));
            parser.consume(input, body);
        }
        EXPECT_TRUE(parser.complete());
        EXPECT_EQ(parser.method(), "POST");
        EXPECT_EQ(parser.target(), "/-/hosts/s-1/disable");
        EXPECT_EQ(body, "abc") << "input after the body is not part of the request";
    }
}

TEST(Http, RejectsInvalidRequests) {
    for (const char* text : {"GET\r\n", "GET /\r\n", "GET / FTP/1.1\r\n", " / HTTP/1.1\r\n",
                             "GET x HTTP/1.1\r\n", "POST / HTTP/1.1\r\nContent-Length: 5000\r\n"}) {
        HttpRequestParser parser;
        Buffer input;
        std::string body;
        fill(input, text);
        EXPECT_THROW(parser.consume(input, body), HttpError) << text;
    }
}

TEST(Http, RejectsInvalidResponses) {
    for (const char* response : {"nonsense\r\n", "HTTP/1.1 abc\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
                                 "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n"}) {
        EXPECT_THROW(bodyOf(response, 1000), HttpError) << response;
    }
    EXPECT_THROW(bodyOf("HTTP/1.1 200 OK\r\nX: " + std::string(5000, 'x'), 500), HttpError);
}

TEST(MembershipUpdate, ReadsAnUpdate) {
    const MembershipUpdate update = MembershipUpdate::parse(
        R"({"version":43,"full":false,"servers":[
            {"id":"s-1","addr":"127.0.0.9:8080","zone":"a","kind":"m2","cell":3,"state":"leaving",
             "weight":1.5,"started_ms":1700},
            {"id":"s-2","addr":"127.0.0.8:81","state":"active"}]})");
    EXPECT_EQ(update.version, 43U);
    EXPECT_FALSE(update.full);
    ASSERT_EQ(update.members.size(), 2U);
    EXPECT_EQ(update.members[0].entry.name, "s-1");
    EXPECT_EQ(update.members[0].entry.availability, Availability::Draining);
    EXPECT_EQ(update.members[0].entry.startedAt, Time{1700ms});
    EXPECT_EQ(update.members[0].address.text(), "127.0.0.9:8080");
    EXPECT_EQ(update.members[1].entry.availability, Availability::Ready);
    EXPECT_EQ(update.members[1].entry.startedAt, Time{0});
}

// Some discovery services write every key, with null for absent values.
TEST(MembershipUpdate, TreatsNullAsAbsent) {
    const MembershipUpdate update = MembershipUpdate::parse(
        R"({"version":7,"full":null,"servers":[{"id":"s","addr":"127.0.0.1:1","zone":null,"kind":null,"cell":null,
            "state":null,"weight":null,"started_ms":null},{"id":"t","addr":null,"state":"left"}]})");
    ASSERT_EQ(update.members.size(), 2U);
    EXPECT_FALSE(update.full);
    EXPECT_EQ(update.members[0].entry.zone, "");
    EXPECT_EQ(update.members[0].entry.weight, 1.0);
    EXPECT_EQ(update.members[0].entry.availability, Availability::Ready);
    EXPECT_EQ(update.members[1].entry.availability, Availability::Gone);
}

TEST(MembershipUpdate, RejectsInvalidUpdates) {
    EXPECT_ANY_THROW(MembershipUpdate::parse("nonsense"));
    EXPECT_ANY_THROW(MembershipUpdate::parse(R"({"servers":[]})"));
    EXPECT_ANY_THROW(MembershipUpdate::parse(R"({"version":1,"servers":[{"id":"s","addr":"nowhere"}]})"));
    EXPECT_ANY_THROW(MembershipUpdate::parse(
        R"({"version":1,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"odd"}]})"));
}

TEST(Address, ParsesOnlyCompleteAddresses) {
    EXPECT_EQ(Address::parse("127.0.0.1:8080")->text(), "127.0.0.1:8080");
    for (const char* text :
         {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000", "host:80", "1:1"}) {
        EXPECT_FALSE(Address::parse(text)) << text;
    }
}

TEST(Config, TreatsNullAsAbsentAndCapsTheAttempts) {
    const Config config = parseConfig(
        R"({"name":null,"listen":"127.0.0.4:8080","discovery":"127.0.0.5:8500","console":null,"seed":null,
            "limits":null,"known":null,"settings":{"bounds":{"attemptsCap":1000}}})");
    EXPECT_EQ(config.name, "node");
    EXPECT_FALSE(config.adminAddress);
    EXPECT_EQ(config.settings.settings.limits.maxAttempts, 255);
}

TEST(Config, IsParsedAndErrorsNameTheInvalidKey) {
    const Config config = parseConfig(
        R"({"name":"n3","listen":"127.0.0.4:8080","discovery":"127.0.0.5:8500","seed":"ff",
            "limits":{"sockets":1160},"known":{"version":4,"full":true,"servers":[]},"settings":{}})");
    EXPECT_EQ(config.name, "n3");
    EXPECT_EQ(config.listen.text(), "127.0.0.4:8080");
    EXPECT_EQ(config.settings.settings.seed, 255U);
    EXPECT_EQ(config.descriptorLimit, 1160U);
    EXPECT_EQ(config.knownEndpoints.version, 4U);
    const std::vector<std::pair<const char*, const char*>> invalidConfigurations = {
        {"{", "bad configuration"},
        {R"({"listen":"nowhere","discovery":"127.0.0.1:1","settings":{}})", "listen"},
        {R"({"listen":"127.0.0.1:1","discovery":"","settings":{}})", "discovery"},
        {R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:1"})", "settings"},
        {R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{},"seed":"xyz"})", "seed"},
        {R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{"instances":0}})", "instances"},
    };
    for (const auto& [text, reason] : invalidConfigurations) {
        try {
            parseConfig(text);
            ADD_FAILURE() << text;
        } catch (const std::runtime_error& error) {
            EXPECT_NE(std::string(error.what()).find(reason), std::string::npos) << error.what();
        }
    }
}

}  // namespace
}  // namespace ivyreel
