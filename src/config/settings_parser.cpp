#include "config/settings_parser.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "config/section_reader.hpp"

namespace ivyreel {

namespace {

using Json = nlohmann::json;

// The index of an attempt has eight bits.
constexpr double kMaxAttempts = 255.0;

// The minimum of shares and multiples: with a share of 0, slow start would never end.
constexpr double kSmallestShare = 1e-9;

Json parseDocument(std::string_view text) {
    try {
        return Json::parse(text);
    } catch (const Json::parse_error& error) {
        throw SettingsError("byte " + std::to_string(error.byte), "not JSON");
    } catch (const Json::exception& error) {
        throw SettingsError("the document", std::string("not JSON that can be parsed: ") + error.what());
    }
}

void readFleet(const SectionReader& root, Settings& settings) {
    settings.nodes = root.count("instances", settings.nodes, 1);
    if (root.has("me")) settings.nodeIndex = root.count("me", 0, 0, settings.nodes - 1);
    settings.zone = ZoneIndex{root.count("zone", 0)};
    settings.eventResolution = root.micros("resolution", settings.eventResolution);
    settings.overQuotaPriorityWeight = root.number("overShareWorth", settings.overQuotaPriorityWeight);
    settings.discoveryMode = root.choice("registryMode", settings.discoveryMode,
                                         {{"push", DiscoveryMode::Push}, {"ask", DiscoveryMode::Poll}});
    settings.weightKind = root.choice("weightKind", settings.weightKind,
                                      {{"off", WeightKind::None},
                                       {"nominal", WeightKind::Nominal},
                                       {"rough", WeightKind::Rough},
                                       {"live", WeightKind::Live}});
}

void readObjectives(const SectionReader& root, Settings& settings) {
    const SectionReader prices = root.section("prices");
    settings.crossZoneCost = prices.number("crossZone", settings.crossZoneCost, 0.0);
    const SectionReader goal = root.section("goal");
    settings.availabilityWeight = goal.number("availability", settings.availabilityWeight, 0.0, 1.0);
}

void readRequestLimits(const SectionReader& bounds, RequestLimits& limits) {
    const double maxAttempts = bounds.number("attemptsCap", limits.maxAttempts, 1);
    limits.maxAttempts = static_cast<int>(std::min(kMaxAttempts, maxAttempts));
    limits.canCancelAttempts = bounds.flag("cancel", limits.canCancelAttempts);
    limits.hedgedRequests = bounds.flag("secondCopies", limits.hedgedRequests);
    limits.healthChecks = bounds.flag("probes", limits.healthChecks);
    limits.sendRetryAfter = bounds.flag("retryAfter", limits.sendRetryAfter);
    limits.maxRetryAfter = bounds.micros("maxRetryAfter", limits.maxRetryAfter);
    limits.connectTimeout = bounds.micros("connectTimeout", limits.connectTimeout);
}

void readOperatingLimits(const SectionReader& rules, OperatingLimits& limits) {
    limits.responseSlack = rules.micros("answerSlack", limits.responseSlack);
    limits.drainGracePeriod = rules.micros("drainGrace", limits.drainGracePeriod);
    limits.slowStartInitialShare =
        rules.number("coldShare", limits.slowStartInitialShare, kSmallestShare, 1.0);
    limits.slowStartDuration = rules.micros("warmAfter", limits.slowStartDuration);
    limits.overloadMultiple = rules.number("fallMultiple", limits.overloadMultiple, kSmallestShare);
    limits.overloadWindow = rules.micros("fall", limits.overloadWindow, 1.0);
    limits.maxPollInterval = rules.micros("mustAskIn", limits.maxPollInterval);
}

void readDeploymentKind(const SectionReader& family, NodeSettings& node) {
    Settings& settings = node.settings;
    settings.groupAffinity = family.flag("groups", settings.groupAffinity);
    node.reportsMessageDelay = family.flag("tellsDelay", node.reportsMessageDelay);
    settings.forwardingMode =
        family.choice("mode", settings.forwardingMode,
                      {{"proxy", ForwardingMode::Proxy}, {"pass", ForwardingMode::Passthrough}});
}

void readLoadReports(const SectionReader& report, NodeSettings& node) {
    node.settings.loadReportMode = report.choice("how", node.settings.loadReportMode,
                                                 {{"inline", LoadReportMode::WithResponses},
                                                  {"on_probe", LoadReportMode::WithHealthChecks},
                                                  {"off", LoadReportMode::None}});
    for (const std::string& name : report.strings("fields")) {
        node.reportFields.push_back(reportField(name));
    }
}

// Reads the name of a class or a tenant. No two of them may have the same name, but several may have no name.
std::string readName(const SectionReader& section, const std::vector<std::string>& earlierNames) {
    std::string name = section.text("name");
    const auto earlier = std::find(earlierNames.begin(), earlierNames.end(), name);
    const bool repeated = !name.empty() && earlier != earlierNames.end();
    if (repeated)
        throw SettingsError(section.pathOf("name"), "\"" + name + "\" is the name of an earlier entry");
    return name;
}

RequestClassSettings readRequestClass(const SectionReader& section, double messageLatencyObjective) {
    RequestClassSettings result;
    result.latencyObjective = section.micros("aim", result.latencyObjective, 1.0);
    result.requestTimeout = section.micros("giveUp", result.requestTimeout, 1.0);
    result.idempotency = section.choice("repeat", result.idempotency,
                                        {{"free", Idempotency::Idempotent},
                                         {"guarded", Idempotency::WithKey},
                                         {"single_shot", Idempotency::NonIdempotent}});
    result.deduplicationScope = section.choice("group", result.deduplicationScope,
                                               {{"all", DeduplicationScope::All},
                                                {"zone", DeduplicationScope::Zone},
                                                {"cell", DeduplicationScope::Cell}});
    result.deduplicationWindow = section.micros("dedupWindow", result.deduplicationWindow);
    result.priorityWeight = section.number("worth", result.priorityWeight);
    result.messageLatencyObjective = Micros{static_cast<Micros::rep>(messageLatencyObjective)};
    return result;
}

void readRequestClasses(const SectionReader& root, const SectionReader& family, NodeSettings& node) {
    for (const SectionReader& section : root.sections("grades")) {
        const double messageLatencyObjective = family.numberAt("messageAim", node.classNames.size(), 0.0);
        node.settings.classes.push_back(readRequestClass(section, messageLatencyObjective));
        node.classNames.push_back(readName(section, node.classNames));
    }
}

void readTenants(const SectionReader& root, const SectionReader& family, NodeSettings& node) {
    for (const SectionReader& section : root.sections("tenants")) {
        const std::size_t index = node.tenantNames.size();
        TenantSettings tenant;
        tenant.quotaShare = section.number("share", tenant.quotaShare);
        tenant.quotaConnections = family.numberAt("tenantQuotaConnections", index, 0.0);
        node.settings.tenants.push_back(tenant);
        node.tenantNames.push_back(readName(section, node.tenantNames));
    }
}

}  // namespace

NodeSettings parseSettings(std::string_view text) {
    const Json document = parseDocument(text);
    const SectionReader root{document, ""};
    const SectionReader bounds = root.section("bounds");
    const SectionReader family = root.section("familyInfo");
    NodeSettings node;
    readFleet(root, node.settings);
    readObjectives(root, node.settings);
    readRequestLimits(bounds, node.settings.limits);
    node.idleTimeout = bounds.micros("connIdle", node.idleTimeout);
    readOperatingLimits(root.section("rules"), node.settings.operatingLimits);
    readDeploymentKind(family, node);
    readLoadReports(root.section("report"), node);
    node.zoneNames = root.strings("failureDomains");
    node.kindNames = root.strings("kinds");
    readRequestClasses(root, family, node);
    readTenants(root, family, node);
    return node;
}

}  // namespace ivyreel
