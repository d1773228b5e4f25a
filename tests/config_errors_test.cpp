// Errors of the settings and the configuration name the location and the reason.
#include <gtest/gtest.h>

#include <string>

#include "config/node_config.hpp"

namespace ivyreel::test {
namespace {

std::string settingsErrorOf(const std::string& text) {
    try {
        parseSettings(text);
    } catch (const SettingsError& error) {
        return error.what();
    }
    return "no error";
}

std::string configErrorOf(const std::string& text) {
    try {
        parseConfig(text);
    } catch (const ConfigError& error) {
        return error.what();
    }
    return "no error";
}

TEST(SettingsErrors, NameTheKeyAndTheReason) {
    EXPECT_EQ(settingsErrorOf(R"({"bounds":{"cancel":3}})"),
              "bad settings at bounds.cancel: expected true or false");
    EXPECT_EQ(settingsErrorOf(R"({"grades":[{},{"giveUp":0}]})"),
              "bad settings at grades[1].giveUp: out of range: expected a number from 1.0 to 1e+15, got 0");
    EXPECT_EQ(settingsErrorOf(R"({"grades":[{"name":"a"},{"name":"a"}]})"),
              "bad settings at grades[1].name: \"a\" is the name of an earlier entry");
    EXPECT_EQ(settingsErrorOf(R"({"registryMode":"shout"})"),
              "bad settings at registryMode: unknown value \"shout\"");
    EXPECT_EQ(settingsErrorOf(R"({"kinds":["m1",2]})"), "bad settings at kinds[1]: expected a string");
    EXPECT_EQ(settingsErrorOf(R"({"tenants":{}})"), "bad settings at tenants: expected an array");
    EXPECT_EQ(settingsErrorOf(R"({"familyInfo":{"messageAim":[-1]},"grades":[{}]})"),
              "bad settings at familyInfo.messageAim[0]: out of range: expected a number from 0.0 to 1e+15, "
              "got -1");
}

TEST(ConfigErrors, NameTheKeyAndTheReason) {
    EXPECT_EQ(configErrorOf("[]"), "bad configuration at the document: expected an object");
    EXPECT_EQ(configErrorOf(R"({"listen":"nowhere"})"),
              "bad configuration at listen: not an address of the form 127.0.0.1:8080: \"nowhere\"");
    EXPECT_EQ(configErrorOf(R"({"name":7})"), "bad configuration at name: expected a string");
    const std::string addresses = R"("listen":"127.0.0.1:1","discovery":"127.0.0.1:2")";
    EXPECT_EQ(configErrorOf("{" + addresses + R"(,"limits":{"sockets":0}})"),
              "bad configuration at limits.sockets: expected a positive integer");
    EXPECT_EQ(configErrorOf("{" + addresses + "}"), "bad configuration at settings: missing");
    EXPECT_EQ(configErrorOf("{" + addresses + R"(,"settings":{},"seed":"xyz"})"),
              "bad configuration at seed: not a hexadecimal number of at most 64 bits: \"xyz\"");
    EXPECT_NE(configErrorOf("{" + addresses + R"(,"known":{"version":1,"servers":[{"id":"s"}]}})")
                  .find("bad configuration at known: "),
              std::string::npos);
}

TEST(ConfigErrors, AMissingKeyIsNamedUnlessItIsOptional) {
    const auto configWith = [](const std::string& settings) {
        return parseConfig(R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":)" + settings +
                           "}");
    };
    const Config current =
        configWith(R"({"goal":{"availability":0.3},"grades":[{"name":"a","aim":1},{"name":"b"}]})");
    EXPECT_EQ(firstMissingKey(configWith(R"({"goal":{},"grades":[{"name":"c"}]})"), current), std::nullopt)
        << "not all classes have an aim";
    EXPECT_EQ(firstMissingKey(configWith(R"({"goal":{},"grades":[{"name":"c"},{"aim":1}]})"), current),
              "settings.grades.name");
    EXPECT_EQ(firstMissingKey(configWith(R"({"grades":[]})"), current), "settings.goal");
}

}  // namespace
}  // namespace ivyreel::test
