// The handover format stays readable and identical: each golden file is parsed, its fields are checked one by
// one, and the result is encoded again and compared byte for byte with the file.
#include <gtest/gtest.h>

#include <cstdint>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "hot_restart/handover_messages.hpp"
#include "hot_restart/handover_state.hpp"

namespace ivyreel {
namespace {

using Json = nlohmann::json;

std::string readGolden(const std::string& name) {
    std::ifstream file(std::string(IVYREEL_GOLDEN_DIRECTORY) + "/" + name, std::ios::binary);
    if (!file) throw std::runtime_error("cannot read the golden file " + name);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::vector<std::string> keysOf(const Json& object) {
    std::vector<std::string> keys;
    for (const auto& item : object.items()) {
        keys.push_back(item.key());
    }
    return keys;
}

// The state, of which each section has to be valid.
HandoverState parseValid(const std::string& text) {
    ParsedHandoverState parsed = HandoverState::parse(text);
    for (const InvalidStateSection& section : parsed.invalidSections) {
        ADD_FAILURE() << section.key << ": " << section.reason;
    }
    return std::move(parsed.state);
}

// Expects that this section is rejected alone: all others have the values of the golden file.
void expectOnlySectionIsInvalid(const Json& state, const std::string& section) {
    const ParsedHandoverState parsed = HandoverState::parse(state.dump());
    ASSERT_EQ(parsed.invalidSections.size(), 1U) << section;
    EXPECT_EQ(parsed.invalidSections[0].key, section);
    EXPECT_FALSE(parsed.invalidSections[0].reason.empty());
    Json received = Json::parse(parsed.state.text());
    Json expected = Json::parse(readGolden("state.json"));
    received.erase(section);
    expected.erase(section);
    EXPECT_EQ(received, expected) << section;
}

// Expects that the section is rejected if any one key of the object at the JSON pointer `path` in it is
// missing.
void expectEachKeyIsRequired(const std::string& path, const std::string& section) {
    const Json::json_pointer pointer(path);
    const Json state = Json::parse(readGolden("state.json"));
    for (const std::string& key : keysOf(state.at(pointer))) {
        SCOPED_TRACE(path + "/" + key);
        Json incomplete = state;
        incomplete.at(pointer).erase(key);
        expectOnlySectionIsInvalid(incomplete, section);
    }
}

TEST(HotRestartGolden, StateRoundTripsByteForByte) {
    const std::string golden = readGolden("state.json");
    EXPECT_EQ(parseValid(golden).text() + "\n", golden);
}

TEST(HotRestartGolden, StateHasItsTopLevelFields) {
    const HandoverState state = parseValid(readGolden("state.json"));
    EXPECT_EQ(state.adminAddress, "127.0.0.1:9101");
    EXPECT_EQ(state.requestIds, (std::vector<std::uint64_t>{9223372036854775808U, 1, 77}));
    EXPECT_EQ(state.learned.classNames,
              (std::vector<std::string>{"chat", "b\xc3\xbchne", "quote\"d", "bulk"}));
    EXPECT_EQ(state.learned.listed,
              (std::vector<EndpointId>{EndpointId{18446744073709551615U}, EndpointId{42}, EndpointId{43}}));
    EXPECT_EQ(state.learned.banned, (std::vector<EndpointId>{EndpointId{43}, EndpointId{44}}));
}

TEST(HotRestartGolden, StateHasTheEndpointList) {
    const HandoverState state = parseValid(readGolden("state.json"));
    EXPECT_EQ(state.list->version, 9007199254740993U);
    EXPECT_TRUE(state.list->full);
    ASSERT_EQ(state.list->members.size(), 3U);

    const Member& ready = state.list->members[0];
    EXPECT_EQ(ready.entry.name, "chat-01");
    EXPECT_EQ(ready.entry.zone, "north");
    EXPECT_EQ(ready.entry.kind, "large");
    EXPECT_EQ(ready.entry.cell, 7U);
    EXPECT_EQ(ready.entry.weight, 2.5);
    EXPECT_EQ(ready.entry.availability, Availability::Ready);
    EXPECT_EQ(ready.entry.startedAt, Time{1764720000123000});
    EXPECT_EQ(ready.address.text(), "10.0.0.1:8001");

    const Member& draining = state.list->members[1];
    EXPECT_EQ(draining.entry.name, "chat-02");
    EXPECT_EQ(draining.entry.zone, "south");
    EXPECT_EQ(draining.entry.kind, "small");
    EXPECT_EQ(draining.entry.cell, 8U);
    EXPECT_EQ(draining.entry.weight, 0.1);
    EXPECT_EQ(draining.entry.availability, Availability::Draining);
    EXPECT_EQ(draining.entry.startedAt, Time{1764720001234000});
    EXPECT_EQ(draining.address.text(), "10.0.0.2:8002");

    const Member& gone = state.list->members[2];
    EXPECT_EQ(gone.entry.name, "chat-03");
    EXPECT_EQ(gone.entry.zone, "west");
    EXPECT_EQ(gone.entry.kind, "medium");
    EXPECT_EQ(gone.entry.cell, 9U);
    EXPECT_EQ(gone.entry.weight, 0.3333333333333333);
    EXPECT_EQ(gone.entry.availability, Availability::Gone);
    EXPECT_EQ(gone.entry.startedAt, Time{1764720002345000});
    EXPECT_EQ(gone.address.text(), "10.0.0.3:8003");
}

TEST(HotRestartGolden, StateHasTheLearnedFleetState) {
    const HandoverState state = parseValid(readGolden("state.json"));
    const LearnedFleetState& fleet = state.learned.learnedState.fleet.value();
    EXPECT_EQ(fleet.saturationThreshold, 0.30000000000000004);
    EXPECT_EQ(fleet.workSeconds, 123456.789);
    EXPECT_EQ(fleet.loadSeconds, 0.6666666666666666);
    EXPECT_EQ(fleet.connectionSeconds, 1e-7);
    EXPECT_EQ(fleet.arrivalRate, 1234.5678901234567);
    EXPECT_EQ(fleet.meanSetupMicros, 1e22);
    EXPECT_EQ(fleet.typicalSetupMicros, 5e-324);
    EXPECT_EQ(fleet.typicalLoad, 1.7976931348623157e308);
    EXPECT_EQ(fleet.meanLoadByClass, (std::vector<double>{0.7, 1.1, 40000.0, 3.141592653589793}));
}

TEST(HotRestartGolden, StateHasTheLearnedStateOfEachEndpoint) {
    const HandoverState state = parseValid(readGolden("state.json"));
    ASSERT_EQ(state.learned.learnedState.endpoints.size(), 3U);

    const LearnedState::EndpointRecord& first = state.learned.learnedState.endpoints[0];
    EXPECT_EQ(first.id, EndpointId{18446744073709551615U});
    EXPECT_EQ(first.startedAt, Time{1764720000123000});
    EXPECT_TRUE(first.state.reported);
    EXPECT_EQ(first.state.reportedAt, Time{1764720010000001});
    EXPECT_EQ(first.state.utilisation, 61);
    EXPECT_EQ(first.state.loadOverCapacity, 0.6100000000000001);
    EXPECT_EQ(first.state.activeRequests, 17.25);
    EXPECT_EQ(first.state.slowdown, 1.2345678901234567);
    EXPECT_EQ(first.state.setupSlowdown, 0.9);
    EXPECT_EQ(first.state.roundTripMicros, 187.3);
    EXPECT_EQ(first.state.healthCheckFailures, 2);
    EXPECT_EQ(first.state.successRate, 0.14285714285714285);
    EXPECT_EQ(first.state.lastLateMessageAt, Time{1764720010000002});
    EXPECT_EQ(first.state.slowStartSlotsUsedUntil, Time{1764720010000003});
    EXPECT_EQ(first.state.nextMigrationAt, Time{1764720010000004});

    const LearnedState::EndpointRecord& second = state.learned.learnedState.endpoints[1];
    EXPECT_EQ(second.id, EndpointId{42});
    EXPECT_EQ(second.startedAt, Time{1764720001234000});
    EXPECT_TRUE(second.state.reported);
    EXPECT_EQ(second.state.reportedAt, Time{-5});
    EXPECT_EQ(second.state.utilisation, 100);
    EXPECT_EQ(second.state.loadOverCapacity, 1e-300);
    EXPECT_EQ(second.state.activeRequests, 3.0);
    EXPECT_EQ(second.state.slowdown, -0.1);
    EXPECT_EQ(second.state.setupSlowdown, 1.1);
    EXPECT_EQ(second.state.roundTripMicros, 2.3);
    EXPECT_EQ(second.state.healthCheckFailures, 4);
    EXPECT_EQ(second.state.successRate, 0.2);
    EXPECT_EQ(second.state.lastLateMessageAt, Time{6});
    EXPECT_EQ(second.state.slowStartSlotsUsedUntil, Time{7});
    EXPECT_EQ(second.state.nextMigrationAt, Time{9223372036854775807});
}

TEST(HotRestartGolden, StateHasTheDefaultsOfAnUnknownEndpoint) {
    const HandoverState state = parseValid(readGolden("state.json"));
    const LearnedState::EndpointRecord& unknown = state.learned.learnedState.endpoints.at(2);
    EXPECT_EQ(unknown.id, EndpointId{43});
    EXPECT_EQ(unknown.startedAt, Time{1764720002345000});
    EXPECT_FALSE(unknown.state.reported);
    EXPECT_EQ(unknown.state.reportedAt, Time{0});
    EXPECT_EQ(unknown.state.utilisation, 0);
    EXPECT_EQ(unknown.state.loadOverCapacity, 0.0);
    EXPECT_EQ(unknown.state.activeRequests, 0.0);
    EXPECT_EQ(unknown.state.slowdown, 1.0);
    EXPECT_EQ(unknown.state.setupSlowdown, 1.0);
    EXPECT_EQ(unknown.state.roundTripMicros, 0.0);
    EXPECT_EQ(unknown.state.healthCheckFailures, 0);
    EXPECT_EQ(unknown.state.successRate, 1.0);
    EXPECT_EQ(unknown.state.lastLateMessageAt, Time{-4611686018427387904});
    EXPECT_EQ(unknown.state.slowStartSlotsUsedUntil, Time{0});
    EXPECT_EQ(unknown.state.nextMigrationAt, Time{0});
}

TEST(HotRestartGolden, StateOfAnotherVersionIsRejected) {
    for (const int version : {2, 4}) {
        Json state = Json::parse(readGolden("state.json"));
        state["estate"] = version;
        EXPECT_THROW(HandoverState::parse(state.dump()), HandoverError) << version;
    }
}

TEST(HotRestartGolden, StateWithoutItsVersionOrThatIsNoObjectIsRejected) {
    Json state = Json::parse(readGolden("state.json"));
    state.erase("estate");
    for (const std::string& text : {state.dump(), std::string("[3]"), std::string("null"), std::string("{"),
                                    std::string("{\"estate\":null}")}) {
        EXPECT_THROW(HandoverState::parse(text), HandoverError) << text;
    }
}

// Guards against bans that an upgrade loses: one number that could not be read cost the whole state.
TEST(HotRestartGolden, SectionWithAMissingKeyIsRejectedAlone) {
    const Json state = Json::parse(readGolden("state.json"));
    for (const std::string& section : keysOf(state)) {
        if (section == "estate") continue;
        Json incomplete = state;
        incomplete.erase(section);
        expectOnlySectionIsInvalid(incomplete, section);
    }
    expectEachKeyIsRequired("/fleet", "fleet");
    expectEachKeyIsRequired("/hosts/0", "hosts");
    expectEachKeyIsRequired("/hosts/0/known", "hosts");
}

TEST(HotRestartGolden, SectionWithANullInPlaceOfAValueIsRejectedAlone) {
    const Json golden = Json::parse(readGolden("state.json"));
    const std::vector<std::pair<std::string, std::string>> nulls = {{"/fleet/work", "fleet"},
                                                                    {"/fleet/classLoad/0", "fleet"},
                                                                    {"/hosts/1/known/strain", "hosts"},
                                                                    {"/list/servers/0/id", "list"},
                                                                    {"/ids/0", "ids"},
                                                                    {"/console", "console"}};
    for (const auto& [path, section] : nulls) {
        SCOPED_TRACE(path);
        Json state = golden;
        state.at(Json::json_pointer(path)) = nullptr;
        expectOnlySectionIsInvalid(state, section);
    }
}

TEST(HotRestartGolden, HandoverRequestRoundTripsByteForByte) {
    const std::string golden = readGolden("handover_request.json");
    const auto request = HandoverRequest::parse(golden);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->listen, "127.0.0.1:8080");
    EXPECT_EQ(request->adminAddress, "127.0.0.1:9101");
    EXPECT_EQ(encode(*request), golden);
}

TEST(HotRestartGolden, ServingNoticeRoundTripsByteForByte) {
    const std::string golden = readGolden("serving_notice.json");
    const HandoverMessage message = parseMessage(golden);
    ASSERT_TRUE(std::holds_alternative<ServingNotice>(message));
    EXPECT_EQ(encode(std::get<ServingNotice>(message)), golden);
}

TEST(HotRestartGolden, DescriptorCountRoundTripsByteForByte) {
    const std::string golden = readGolden("descriptor_count.json");
    const auto count = std::get<DescriptorCount>(parseMessage(golden));
    EXPECT_EQ(count.count, 1234U);
    EXPECT_EQ(encode(count), golden);
}

TEST(HotRestartGolden, BanNoticeOnRoundTripsByteForByte) {
    const std::string golden = readGolden("ban_notice_on.json");
    const auto notice = std::get<BanNotice>(parseMessage(golden));
    EXPECT_EQ(notice.endpoint, EndpointId{18446744073709551615U});
    EXPECT_TRUE(notice.banned);
    EXPECT_EQ(encode(notice), golden);
}

TEST(HotRestartGolden, BanNoticeOffRoundTripsByteForByte) {
    const std::string golden = readGolden("ban_notice_off.json");
    const auto notice = std::get<BanNotice>(parseMessage(golden));
    EXPECT_EQ(notice.endpoint, EndpointId{42});
    EXPECT_FALSE(notice.banned);
    EXPECT_EQ(encode(notice), golden);
}

TEST(HotRestartGolden, RequestNoticeOpenRoundTripsByteForByte) {
    const std::string golden = readGolden("request_notice_open.json");
    const auto notice = std::get<RequestNotice>(parseMessage(golden));
    EXPECT_EQ(notice.id, 18446744073709551615U);
    EXPECT_TRUE(notice.open);
    EXPECT_EQ(encode(notice), golden);
}

TEST(HotRestartGolden, RequestNoticeEndedRoundTripsByteForByte) {
    const std::string golden = readGolden("request_notice_ended.json");
    const auto notice = std::get<RequestNotice>(parseMessage(golden));
    EXPECT_EQ(notice.id, 77U);
    EXPECT_FALSE(notice.open);
    EXPECT_EQ(encode(notice), golden);
}

TEST(HotRestartGolden, ReloadNoticeRoundTripsByteForByte) {
    const std::string golden = readGolden("reload_notice.json");
    const HandoverMessage message = parseMessage(golden);
    ASSERT_TRUE(std::holds_alternative<ReloadNotice>(message));
    EXPECT_EQ(encode(std::get<ReloadNotice>(message)), golden);
}

TEST(HotRestartGolden, ConnectionTransferWithLoadRoundTripsByteForByte) {
    using namespace std::string_literals;
    const std::string golden = readGolden("standing_connection_with_load.json");
    const EstablishedConnection connection = std::get<ConnectionTransfer>(parseMessage(golden)).parse();
    EXPECT_EQ(connection.openingLine, "OPEN 9b01 7f3a c=chat,d=0\r\n");
    EXPECT_EQ(connection.endpoint, EndpointId{18446744073709551614U});
    EXPECT_EQ(connection.load, 0.30000000000000004);
    EXPECT_EQ(connection.relay.fromClient, "one\r\ntwo");
    EXPECT_EQ(connection.relay.fromUpstream, "\x00\x01\x7f\x80\xff\"\\\r\n"s);
    EXPECT_EQ(connection.relay.completeClientBytes, 5U);
    EXPECT_EQ(connection.relay.completeUpstreamBytes, 9U);
    EXPECT_EQ(connection.relay.unansweredSince, Time{1764720010000005});
    EXPECT_EQ(encode(connection), golden);
}

TEST(HotRestartGolden, ConnectionTransferWithoutLoadRoundTripsByteForByte) {
    using namespace std::string_literals;
    const std::string golden = readGolden("standing_connection_without_load.json");
    const EstablishedConnection connection = std::get<ConnectionTransfer>(parseMessage(golden)).parse();
    EXPECT_EQ(connection.openingLine, "OPEN 9b01 7f3a c=chat,d=0\r\n");
    EXPECT_EQ(connection.endpoint, EndpointId{45});
    EXPECT_FALSE(connection.load);
    EXPECT_EQ(connection.relay.fromClient, "\xfe\n\x00"s);
    EXPECT_EQ(connection.relay.fromUpstream, "late");
    EXPECT_EQ(connection.relay.completeClientBytes, 2U);
    EXPECT_EQ(connection.relay.completeUpstreamBytes, 0U);
    EXPECT_EQ(connection.relay.unansweredSince, kNever);
    EXPECT_EQ(encode(connection), golden);
}

}  // namespace
}  // namespace ivyreel
