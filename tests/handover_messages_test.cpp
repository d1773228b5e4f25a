// The exact encoding of the handover messages, on which other versions rely, and the rejection of invalid
// messages.
#include "hot_restart/handover_messages.hpp"

#include <gtest/gtest.h>

#include <string>
#include <variant>

namespace ivyreel {
namespace {

EstablishedConnection exampleConnection() {
    EstablishedConnection connection;
    connection.openingLine = "OPEN 9b01 7f3a c=chat,d=0\r\n";
    connection.endpoint = EndpointId{42};
    connection.load = 12.5;
    connection.relay = {"one\r\ntwo", "\x01\xff\r\n", 5, 4, Time{1234567}};
    return connection;
}

TEST(HandoverMessages, EncodingStaysCompatibleWithOtherVersions) {
    EXPECT_EQ(encode(HandoverRequest{"127.0.0.1:80", ""}),
              "{\"console\":\"\",\"listen\":\"127.0.0.1:80\",\"successor\":1}\n");
    EXPECT_EQ(encode(ServingNotice{}), "{\"serves\":true}\n");
    EXPECT_EQ(encode(DescriptorCount{17}), "{\"holds\":17}\n");
    EXPECT_EQ(encode(BanNotice{EndpointId{42}, true}), "{\"ban\":42,\"on\":true}\n");
    EXPECT_EQ(encode(ReloadNotice{}), "{\"reload\":true}\n");
    EXPECT_EQ(encode(exampleConnection()),
              "{\"connection\":\"4f50454e2039623031203766336120633d636861742c643d300d0a\","
              "\"from_client\":\"6f6e650d0a74776f\",\"from_host\":\"01ff0d0a\",\"host\":42,"
              "\"load\":12.5,\"to_client\":4,\"to_host\":5,\"unanswered\":1234567}\n");
}

TEST(HandoverMessages, ConnectionTransferRoundTrips) {
    const EstablishedConnection sent = exampleConnection();
    const HandoverMessage message = parseMessage(encode(sent));
    ASSERT_TRUE(std::holds_alternative<ConnectionTransfer>(message));
    const EstablishedConnection received = std::get<ConnectionTransfer>(message).parse();
    EXPECT_EQ(received.openingLine, sent.openingLine);
    EXPECT_EQ(received.endpoint, sent.endpoint);
    EXPECT_EQ(received.load, sent.load);
    EXPECT_EQ(received.relay.fromClient, sent.relay.fromClient);
    EXPECT_EQ(received.relay.fromUpstream, sent.relay.fromUpstream);
    EXPECT_EQ(received.relay.completeClientBytes, sent.relay.completeClientBytes);
    EXPECT_EQ(received.relay.completeUpstreamBytes, sent.relay.completeUpstreamBytes);
    EXPECT_EQ(received.relay.unansweredSince, sent.relay.unansweredSince);
    EXPECT_EQ(received.clientSocket, -1);
    EXPECT_EQ(received.upstreamSocket, -1);
}

TEST(HandoverMessages, InconsistentConnectionTransferIsRejected) {
    EstablishedConnection overcounted = exampleConnection();
    overcounted.relay.completeClientBytes = overcounted.relay.fromClient.size() + 1;
    EstablishedConnection withoutOpening = exampleConnection();
    withoutOpening.openingLine = "PING\r\n";
    for (const EstablishedConnection& connection : {overcounted, withoutOpening}) {
        const HandoverMessage message = parseMessage(encode(connection));
        EXPECT_THROW(std::get<ConnectionTransfer>(message).parse(), HandoverError);
    }
}

// Guards against cut-off connections and infinite estimates: a predecessor of an earlier version may transfer
// a load that is too large, or null in place of a load that is not finite.
TEST(HandoverMessages, ConnectionTransferWithAnUnusableLoadIsTakenWithoutIt) {
    for (const char* load : {"1e308", "null", "\"x\""}) {
        std::string text = encode(exampleConnection());
        const std::string valid = "\"load\":12.5";
        text.replace(text.find(valid), valid.size(), std::string("\"load\":") + load);
        const EstablishedConnection received = std::get<ConnectionTransfer>(parseMessage(text)).parse();
        EXPECT_FALSE(received.load) << load;
        EXPECT_EQ(received.openingLine, exampleConnection().openingLine);
    }
}

TEST(HandoverMessages, NoticesRoundTrip) {
    EXPECT_TRUE(std::holds_alternative<ServingNotice>(parseMessage(encode(ServingNotice{}))));
    EXPECT_TRUE(std::holds_alternative<ReloadNotice>(parseMessage(encode(ReloadNotice{}))));
    EXPECT_EQ(std::get<DescriptorCount>(parseMessage(encode(DescriptorCount{17}))).count, 17U);
    const auto ban = std::get<BanNotice>(parseMessage(encode(BanNotice{EndpointId{42}, true})));
    EXPECT_EQ(ban.endpoint, EndpointId{42});
    EXPECT_TRUE(ban.banned);
}

TEST(HandoverMessages, UnknownMessagesAreIgnoredAndMalformedOnesRejected) {
    EXPECT_TRUE(std::holds_alternative<std::monostate>(parseMessage("{\"later\":1}")));
    EXPECT_TRUE(std::holds_alternative<std::monostate>(parseMessage("[]")));
    EXPECT_THROW(parseMessage("{\"ban\":42}"), HandoverError);
    EXPECT_THROW(parseMessage("{\"request\":42}"), HandoverError);
    EXPECT_THROW(parseMessage("no json"), HandoverError);
}

TEST(HandoverMessages, OnlyARequestOfThisVersionIsAccepted) {
    const auto request = HandoverRequest::parse(encode(HandoverRequest{"127.0.0.1:80", "127.0.0.1:81"}));
    ASSERT_TRUE(request);
    EXPECT_EQ(request->listen, "127.0.0.1:80");
    EXPECT_EQ(request->adminAddress, "127.0.0.1:81");
    for (const std::string text :
         {"no json", "[]", "{\"successor\":2,\"listen\":\"127.0.0.1:80\"}", "{\"listen\":\"127.0.0.1:80\"}",
          "{\"successor\":1}", "{\"successor\":1,\"listen\":\"127.0.0.1:80\",\"console\":7}"}) {
        EXPECT_FALSE(HandoverRequest::parse(text)) << text;
    }
}

}  // namespace
}  // namespace ivyreel
