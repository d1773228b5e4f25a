// Tests the admin API without a network, and the formats of the metrics.
#include "admin/admin_api.hpp"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

#include "admin/metrics.hpp"

namespace ivyreel::test {
namespace {

struct FakeNode final : AdminDelegate {
    bool isReady = false;
    std::string disabledEndpoint;

    bool ready() const override { return isReady; }
    std::string metricsText() const override { return "node.current:0|g\n"; }
    bool setEndpointDisabled(std::string_view endpoint, bool disabled) override {
        if (endpoint != "s/1") return false;
        disabledEndpoint = disabled ? endpoint : "";
        return true;
    }
};

TEST(AdminApi, IsReadyOnceTheNodeServes) {
    FakeNode node;
    EXPECT_EQ(handleAdminRequest(node, "GET", "/-/ready").status, 503);
    node.isReady = true;
    EXPECT_EQ(handleAdminRequest(node, "GET", "/-/ready").status, 200);
    EXPECT_EQ(handleAdminRequest(node, "GET", "/-/metrics?x").body, "node.current:0|g\n");
}

TEST(AdminApi, DecodesTheEndpointIdOfTheCall) {
    FakeNode node;
    EXPECT_EQ(handleAdminRequest(node, "POST", "/-/hosts/s%2F1/disable").status, 200);
    EXPECT_EQ(node.disabledEndpoint, "s/1");
    EXPECT_EQ(handleAdminRequest(node, "POST", "/-/hosts/s%2f1/enable").status, 200);
    EXPECT_EQ(node.disabledEndpoint, "");
    EXPECT_EQ(handleAdminRequest(node, "POST", "/-/hosts/s%2/disable").status, 400)
        << "malformed percent escape";
    EXPECT_EQ(handleAdminRequest(node, "POST", "/-/hosts/s-2/disable").status, 404) << "unknown";
    EXPECT_EQ(handleAdminRequest(node, "GET", "/-/hosts/s-1/disable").allowedMethod, "POST");
}

TEST(AdminApi, SerializesAResponseWithItsLengthAndTheAllowedMethod) {
    EXPECT_EQ(serialize({405, "use GET\n", "GET"}),
              "HTTP/1.1 405 Method Not Allowed\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n"
              "Allow: GET\r\nConnection: close\r\n\r\nuse GET\n");
}

TEST(Metrics, AreExposedOnePerLineUnderTheirDocumentedNames) {
    Metrics metrics;
    metrics.classes["chat"] = {.answered = 812, .deferred = 3, .errored = 2, .sends = 820};
    metrics.confLoaded = 1;
    const std::string text = metrics.exposition({.currentConnections = 14,
                                                 .listedEndpoints = 5,
                                                 .excludedEndpoints = 1,
                                                 .listAgeMs = 7,
                                                 .listStaleMs = 0});
    for (const std::string_view line :
         {"node.transactions.chat.answered:812|c\n", "node.transactions.chat.deferred:3|c\n",
          "node.transactions.chat.errored:2|c\n", "node.transactions.chat.sends:820|c\n",
          "node.conf_loaded:1|c\n", "node.conf_invalid:0|c\n", "node.current:14|g\n",
          "node.cluster_size:5|g\n", "node.cluster_unhealthy:1|g\n", "node.list_age_ms:7|g\n"}) {
        EXPECT_NE(text.find(line), std::string::npos) << line;
    }
}

TEST(Metrics, AreLoggedInOneLine) {
    Metrics metrics;
    metrics.accepted = 4;
    metrics.count(Outcome::Timeout);
    const std::string text = metrics.logText();
    EXPECT_TRUE(text.starts_with("accepted=4 pings=0 ")) << text;
    EXPECT_NE(text.find(" timed_out=1 "), std::string::npos) << text;
}

}  // namespace
}  // namespace ivyreel::test
