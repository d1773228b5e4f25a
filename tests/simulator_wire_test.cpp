// The simulator adapter with hand-written frames and with malformed frames, and the settings parser.
#include <gtest/gtest.h>

#include <algorithm>
#include <span>
#include <sstream>

#include "frames.hpp"
#include "simulator/dispatcher.hpp"

namespace ivyreel::test {
namespace {

using simulator::Dispatcher;
using simulator::ReplyWriter;
using simulator::WireError;

Bytes encoded(const Action& action) {
    ReplyWriter writer;
    writer.writeAction(action);
    const std::span<const std::uint8_t> bytes = writer.finish();
    return {bytes.begin() + simulator::kReplyHeaderBytes, bytes.end()};
}

int occurrences(const Bytes& bytes, const Bytes& part) {
    int count = 0;
    for (auto position = bytes.begin();
         (position = std::search(position, bytes.end(), part.begin(), part.end())) != bytes.end();
         ++position) {
        ++count;
    }
    return count;
}

std::string errorOf(const Bytes& bytes) {
    Dispatcher dispatcher;
    try {
        dispatcher.handleFrame(bytes);
    } catch (const std::runtime_error& error) {
        return error.what();
    }
    return "";
}

const RequestId kRequest{0x00083c615d3a91c4};
const EndpointId kEndpoint{0x1f43074a120a};

TEST(ReplyWriter, EncodesActionsInTheLayoutOfTheProtocol) {
    EXPECT_EQ(encoded(StartAttempt{kRequest, kEndpoint, Micros{80000}}),
              hex("46 12000000 c4913a5d613c0800 0a124a07 431f 80380100"));
    EXPECT_EQ(encoded(SetTimer{Micros{500000}, TimerToken{77}}), hex("49 08000000 20a10700 4d000000"));
    EXPECT_EQ(encoded(RejectRequest{kRequest, Micros{250000}}), hex("4a 0c000000 c4913a5d613c0800 90d00300"));
    EXPECT_EQ(encoded(FailRequest{kRequest}), hex("45 08000000 c4913a5d613c0800"));
    EXPECT_EQ(encoded(CancelAttempt{kRequest, AttemptIndex{2}}), hex("42 09000000 c4913a5d613c0800 02"));
    EXPECT_EQ(encoded(MigrateConnection{kRequest}), hex("48 08000000 c4913a5d613c0800"));
    EXPECT_EQ(encoded(StartHealthCheck{kEndpoint}), hex("4c 06000000 0a124a07 431f"));
    EXPECT_EQ(encoded(WatchEndpoints{}), hex("43 01000000 01"));
    EXPECT_EQ(encoded(Log{"hi 7"}), hex("41 06000000 0400 68692037"));
}

TEST(SimulatorDispatcher, AnswersAnEmptyFrameWithAnEmptyReply) {
    Dispatcher dispatcher;
    EXPECT_EQ(dispatcher.handleFrame(hex("0c000000 00000000 5a5c800000000000")), hex("04000000 00000000"));
}

TEST(FrameReader, ReadsEachWidthLittleEndian) {
    const Bytes bytes = hex("01 0203 04050607 08090a0b0c0d0e0f 0000003f");
    simulator::FrameReader reader{bytes, 0};
    EXPECT_EQ(reader.u8(), 0x01);
    EXPECT_EQ(reader.u16(), 0x0302);
    EXPECT_EQ(reader.u32(), 0x07060504U);
    EXPECT_EQ(reader.u64(), 0x0f0e0d0c0b0a0908U);
    EXPECT_EQ(reader.f32(), 0.5F);
    EXPECT_THROW(reader.u8(), WireError);
}

TEST(SimulatorDispatcher, StartsAnAttemptAtAListedEndpoint) {
    Dispatcher dispatcher;
    dispatcher.handleFrame(frame(1000, {selectNode(3), startNode(smallSettings())}));
    const Bytes healthChecks = dispatcher.handleFrame(
        frame(2000, {twoEndpoints(), selectNode(3), hex("02 0b000000 01 2900000000000000 0000")}));
    // The reply selects the node and starts a health check of each endpoint.
    EXPECT_EQ(healthChecks, hex("21000000 03000000 44 02000000 0300"
                                "4c 06000000 0a124a07 431f 4c 06000000 0a9011f2 6c1f"));
    dispatcher.handleFrame(
        frame(3000, {selectNode(3), hex("08 10000000 78050000 00 0a124a07 431f 01 0000003f"),
                     hex("08 10000000 78050000 00 0a9011f2 6c1f 01 00008040")}));
    // The first endpoint reports a load of half its capacity, the second 4 times its capacity. The engine
    // therefore selects the first.
    const Bytes reply = dispatcher.handleFrame(frame(
        4000, {selectNode(3), hex("03 27000000 c4913a5d613c0800 0000000000000000 00 0000 640ad2557c3bf091"
                                  "00000000 00000000 00d43000")}));
    const Bytes head = hex("2f000000 03000000 44 02000000 0300 46 12000000 c4913a5d613c0800 0a124a07 431f");
    ASSERT_EQ(reply.size(), head.size() + 4 + 13)
        << "the timeout of the attempt and a timer for the request follow";
    EXPECT_EQ(Bytes(reply.begin(), reply.begin() + static_cast<std::ptrdiff_t>(head.size())), head);
}

class ThrowingEngine final : public DecisionEngine {
  public:
    void handle(Time, const Event&, std::vector<Action>&) override { throw std::runtime_error("broken"); }
};

TEST(SimulatorDispatcher, ReportsAnExceptionOfTheEngineAsNodeFailure) {
    Dispatcher dispatcher{[](Settings) { return std::make_unique<ThrowingEngine>(); }};
    EXPECT_EQ(dispatcher.handleFrame(frame(1, {selectNode(3), startNode(smallSettings())})),
              hex("18000000 02000000 44 02000000 0300 4d 08000000 0600 62726f6b656e"));
}

TEST(SimulatorDispatcher, RestartsANodeWithinOneFrame) {
    Dispatcher dispatcher;
    dispatcher.handleFrame(frame(1000, {selectNode(3), startNode(smallSettings())}));
    const Bytes reply =
        dispatcher.handleFrame(frame(2000, {selectNode(3), hex("0a 00000000"), startNode(smallSettings()),
                                            twoEndpoints(), hex("02 0b000000 02 2900000000000000 0000")}));
    EXPECT_GT(reply.size(), 8U);
    EXPECT_THROW(dispatcher.handleFrame(frame(3000, {selectNode(4), hex("07 04000000 00000000")})),
                 WireError);
}

TEST(SimulatorDispatcher, AllowsAListNumberToBeReusedWithinOneFrame) {
    Dispatcher dispatcher;
    const Bytes oneEndpoint =
        hex("0b 1f000000 0000 01000000 0000803f 0000 0a124a07 431f 0000 03 0000000000000000 0000");
    const Bytes fullList = hex("02 0b000000 01 2900000000000000 0000");
    const Bytes reply = dispatcher.handleFrame(
        frame(1000, {selectNode(1), startNode(smallSettings()), selectNode(2), startNode(smallSettings()),
                     twoEndpoints(), selectNode(1), fullList, oneEndpoint, selectNode(2), fullList}));
    EXPECT_EQ(occurrences(reply, hex("4c 06000000 0a124a07 431f")), 2);
    EXPECT_EQ(occurrences(reply, hex("4c 06000000 0a9011f2 6c1f")), 1);
}

TEST(SimulatorDispatcher, KeepsNodesIndependent) {
    // The actions of node 1 are the same with and without node 2, to which an endpoint reports overload.
    const std::vector<Bytes> request = {selectNode(1),
                                        hex("03 27000000 0100000000000000 0000000000000000 00 0000"
                                            "0000000000000000 00000000 00000000 00d43000")};
    const auto run = [&](bool withSecondNode) {
        Dispatcher dispatcher;
        std::vector<Bytes> start = {selectNode(1), startNode(smallSettings(), 5), twoEndpoints(),
                                    hex("02 0b000000 01 2900000000000000 0000")};
        if (withSecondNode) {
            start.push_back(selectNode(2));
            start.push_back(startNode(smallSettings(), 6));
            start.push_back(hex("02 0b000000 01 2900000000000000 0000"));
        }
        dispatcher.handleFrame(frame(1000, start));
        if (withSecondNode) {
            dispatcher.handleFrame(
                frame(2000, {selectNode(2), hex("08 10000000 78050000 00 0a124a07 431f 01 00008040")}));
        }
        dispatcher.handleFrame(
            frame(3000, {selectNode(1), hex("08 10000000 78050000 00 0a124a07 431f 01 0000003f")}));
        return dispatcher.handleFrame(frame(4000, request));
    };
    EXPECT_EQ(run(false), run(true));
    EXPECT_GT(run(false).size(), 8U);
}

TEST(MalformedFrame, IsRejectedWithTheOffsetOfTheError) {
    const std::vector<Bytes> frames = {
        hex("0c000000 01000000 0000000000000000"),     // a missing record
        frame(1, {hex("0e 03000000 0100")}),           // a record length beyond the end of the frame
        frame(1, {hex("0e 03000000 010000")}),         // bytes after the last field
        frame(1, {hex("63 00000000")}),                // an unknown code
        frame(1, {hex("00 00000000")}),                // code 0
        frame(1, {hex("0b 06000000 0000 ffffffff")}),  // a list that exceeds its record
        frame(1, {hex("0b 06000000 1000 00000000")}),  // a list number that is out of range
        frame(1, {hex("0a 00000000")}),                // a stop without a selected node
        frame(1, {selectNode(1), hex("01 0c000000 0000000000000000 ff000000")}),  // settings past the end
        hex("0c000000 00000000 0000000000000000 00"),                             // bytes after the frame
    };
    for (const Bytes& bytes : frames) {
        EXPECT_NE(errorOf(bytes).find("offset"), std::string::npos) << errorOf(bytes);
    }
}

TEST(MalformedFrame, IsRejectedIfItContainsAnUnknownValue) {
    Dispatcher dispatcher;
    dispatcher.handleFrame(frame(1, {selectNode(1), startNode(smallSettings())}));
    EXPECT_THROW(
        dispatcher.handleFrame(frame(2, {selectNode(1), hex("08 0c000000 78050000 09 0a124a07 431f 00")})),
        WireError);
    EXPECT_THROW(
        dispatcher.handleFrame(frame(2, {selectNode(1), hex("02 0b000000 07 0000000000000000 0000")})),
        WireError);
    EXPECT_THROW(
        dispatcher.handleFrame(frame(2, {selectNode(1), hex("08 14000000 78050000 00 0a124a07 431f 02"
                                                            "0000803f 0000803f")})),
        WireError);
}

TEST(SettingsParser, UsesDefaultsForMissingKeysAndIgnoresUnknownOnes) {
    const auto node = parseSettings(R"({"somethingNew": {"a": 1}})");
    EXPECT_EQ(node.settings.nodes, 1U);
    EXPECT_EQ(node.settings.limits.maxAttempts, 1);
    EXPECT_FALSE(node.settings.limits.healthChecks);
    EXPECT_TRUE(node.settings.classes.empty());
}

TEST(SettingsParser, ReadsClassesTenantsAndReports) {
    const auto node = parseSettings(R"({"grades": [{"aim": 500000, "giveUp": 3000000, "repeat": "guarded",
        "group": "zone", "dedupWindow": 4000000, "worth": 3}], "familyInfo": {"groups": true, "mode": "pass",
        "messageAim": [150000.0], "tenantQuotaConnections": [null, 12.5]}, "tenants": [{"share": 0.5}, {"share": 0.5}],
        "report": {"how": "inline", "fields": ["waiting", "x1", "news"]}, "weightKind": "live"})");
    const Settings& s = node.settings;
    ASSERT_EQ(s.classes.size(), 1U);
    EXPECT_EQ(s.classes[0].idempotency, Idempotency::WithKey);
    EXPECT_EQ(s.classes[0].deduplicationScope, DeduplicationScope::Zone);
    EXPECT_EQ(s.classes[0].messageLatencyObjective, Micros{150000});
    ASSERT_EQ(s.tenants.size(), 2U);
    EXPECT_EQ(s.tenants[0].quotaConnections, 0.0);
    EXPECT_EQ(s.tenants[1].quotaConnections, 12.5);
    EXPECT_TRUE(s.groupAffinity);
    EXPECT_EQ(s.forwardingMode, ForwardingMode::Passthrough);
    EXPECT_EQ(s.loadReportMode, LoadReportMode::WithResponses);
    ASSERT_EQ(node.reportFields.size(), 3U);
    EXPECT_EQ(node.reportFields[2], ReportField::Unknown);
}

TEST(SettingsParser, ErrorNamesTheKeyOfAnInvalidValue) {
    const std::pair<const char*, const char*> cases[] = {
        {"{", "not JSON"},
        {"[]", "expected an object"},
        {R"({"instances": 0})", "instances"},
        {R"({"bounds": {"attemptsCap": "four"}})", "bounds.attemptsCap"},
        {R"({"grades": [{"repeat": "sometimes"}]})", "grades[0].repeat"},
        {R"({"rules": 5})", "rules"},
        {R"({"instances": 3, "me": 3})", "me"},
        {R"({"rules": {"coldShare": 0}})", "rules.coldShare"},
        {R"({"rules": {"coldShare": -0.5}})", "rules.coldShare"},
        {R"({"rules": {"coldShare": 1.5}})", "rules.coldShare"},
        {R"({"rules": {"fallMultiple": 0}})", "rules.fallMultiple"},
        {R"({"rules": {"fallMultiple": -3}})", "rules.fallMultiple"},
        {R"({"rules": {"fallMultiple": 1e400}})", "not JSON"},
        {R"({"rules": {"fall": 0}})", "rules.fall"},
        {R"({"rules": {"fall": -1}})", "rules.fall"},
        {R"({"rules": {"warmAfter": -1}})", "rules.warmAfter"},
    };
    for (const auto& [text, expected] : cases) {
        try {
            parseSettings(text);
            ADD_FAILURE() << text;
        } catch (const SettingsError& error) {
            EXPECT_NE(std::string(error.what()).find(expected), std::string::npos) << error.what();
        }
    }
}

TEST(SimulatorServe, ExitsCleanlyAtEndOfInputAndReportsATruncatedFrame) {
    const Bytes frameBytes = frame(1, {});
    for (std::size_t length = 0; length <= frameBytes.size(); ++length) {
        std::istringstream in{
            std::string(frameBytes.begin(), frameBytes.begin() + static_cast<std::ptrdiff_t>(length))};
        std::ostringstream out;
        std::ostringstream errors;
        const int code = simulator::serve(in, out, errors);
        const bool clean = length == 0 || length == frameBytes.size();
        EXPECT_EQ(code, clean ? 0 : 1) << length;
        EXPECT_EQ(errors.str().empty(), clean) << errors.str();
    }
}

TEST(SimulatorServe, DoesNotAllocateForAHugeFrameLength) {
    std::istringstream in{std::string("\xff\xff\xff\xff\x00\x00", 6)};
    std::ostringstream out;
    std::ostringstream errors;
    EXPECT_EQ(simulator::serve(in, out, errors), 1);
    EXPECT_NE(errors.str().find("offset 6"), std::string::npos) << errors.str();
}

}  // namespace
}  // namespace ivyreel::test
