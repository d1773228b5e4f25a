// Indices of names stay the same when the settings change.
#include "requests/stable_indices.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace ivyreel::test {
namespace {

TEST(StableIndices, AnUnknownNameHasTheIndexAfterTheLast) {
    EXPECT_EQ(indexOf({"a", "b"}, "b"), 1U);
    EXPECT_EQ(indexOf({"a", "b"}, "c"), 2U);
    EXPECT_EQ(indexOf({}, "a"), 0U);
}

TEST(StableIndices, TenantsKeepTheirIndicesAndDroppedTenantsKeepTheirQuotas) {
    NodeSettings current;
    current.tenantNames = {"one", "two"};
    current.settings.tenants = {{.quotaShare = 0.1}, {.quotaShare = 0.2}};
    NodeSettings next;
    next.tenantNames = {"three", "two"};
    next.settings.tenants = {{.quotaShare = 0.3}, {.quotaShare = 0.4}};
    keepIndices(next, current);
    EXPECT_EQ(next.tenantNames, (std::vector<std::string>{"one", "two", "three"}));
    ASSERT_EQ(next.settings.tenants.size(), 3U);
    EXPECT_EQ(next.settings.tenants[0].quotaShare, 0.1);
    EXPECT_EQ(next.settings.tenants[1].quotaShare, 0.4);
    EXPECT_EQ(next.settings.tenants[2].quotaShare, 0.3);
}

TEST(StableIndices, ValuesAreReorderedByName) {
    const std::vector<std::string> theirs = {"a", "b", "c"};
    const std::vector<std::string> ours = {"c", "d", "a"};
    EXPECT_EQ(reorderedValues({1.0, 2.0, 3.0}, theirs, ours), (std::vector<double>{3.0, 0.0, 1.0}));
    EXPECT_EQ(reorderedValues({1.0}, theirs, ours), (std::vector<double>{0.0, 0.0, 1.0}))
        << "fewer values than names";
    EXPECT_EQ(reorderedValues({1.0, 2.0}, {"a"}, {"a"}), std::vector<double>{1.0})
        << "fewer names than values";
}

}  // namespace
}  // namespace ivyreel::test
