// Changes of the settings while the tracker runs.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "request_tracker_fixture.hpp"

namespace ivyreel::test {
namespace {

using namespace std::chrono_literals;

NodeSettings namedSettings(const std::vector<std::string>& classes, const std::vector<std::string>& zones,
                           std::uint32_t zone) {
    NodeSettings settings;
    settings.classNames = classes;
    for (const std::string& name : classes) {
        RequestClassSettings requestClass;
        requestClass.priorityWeight = static_cast<double>(name.size());
        settings.settings.classes.push_back(requestClass);
    }
    settings.zoneNames = zones;
    settings.settings.zone = ZoneIndex{zone};
    return settings;
}

TEST(RequestTracker, KeepsTheIndicesOfNamesWhenSettingsChange) {
    TrackerFixture f{namedSettings({"a", "bb", "ccc"}, {"x", "y"}, 1)};
    f.tracker.applySettings(namedSettings({"dddd", "ccc", "a"}, {"y", "z", "x"}, 0));
    const Settings now = f.last<SettingsChanged>().settings;
    ASSERT_EQ(now.classes.size(), 4U);
    for (std::size_t i = 0; i < 4; ++i) {
        EXPECT_EQ(now.classes[i].priorityWeight, static_cast<double>(i + 1));
    }
    EXPECT_EQ(now.zone, ZoneIndex{1}) << "zone y keeps its index";
    EXPECT_TRUE(f.tracker.knowsRequestClass("dddd"));
    EXPECT_FALSE(f.tracker.knowsRequestClass("bb"));
    f.tracker.endpointListReceived(true, {MemberEntry{"s-1", "z", "", 0, 1.0, Availability::Ready, 0s}});
    EXPECT_EQ(f.last<EndpointListChanged>().endpoints[0].zone, ZoneIndex{2});
    f.tracker.applySettings(namedSettings({"bb"}, {"x", "y"}, 1));
    EXPECT_TRUE(f.tracker.knowsRequestClass("bb"));
    EXPECT_FALSE(f.tracker.knowsRequestClass("a"));
    EXPECT_EQ(f.last<SettingsChanged>().settings.classes[1].priorityWeight, 2.0)
        << "class bb is configured again and has its previous index";
}

// The longest request timeout limits the drain time of a node that stops.
TEST(RequestTracker, LongestRequestTimeoutIsThatOfTheCurrentClasses) {
    NodeSettings both = namedSettings({"a", "b"}, {"x"}, 1);
    both.settings.classes[0].requestTimeout = 5s;
    both.settings.classes[1].requestTimeout = 1s;
    TrackerFixture f{both};
    EXPECT_EQ(f.tracker.longestRequestTimeout(), 5s);
    NodeSettings one = namedSettings({"b"}, {"x"}, 1);
    one.settings.classes[0].requestTimeout = 2s;
    f.tracker.applySettings(one);
    EXPECT_EQ(f.tracker.longestRequestTimeout(), 2s);
}

}  // namespace
}  // namespace ivyreel::test
