#include "membership/membership_update.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "util/json_value.hpp"

namespace ivyreel {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

Availability availability(const std::string& state) {
    if (state == "active") return Availability::Ready;
    if (state == "leaving") return Availability::Draining;
    if (state == "left") return Availability::Gone;
    throw MembershipUpdateError("unknown endpoint state \"" + state + "\"");
}

// An entry in the state "left" needs no address.
Member parseMember(const Json& json) {
    MemberEntry entry;
    entry.name = json.at("id").get<std::string>();
    entry.availability = availability(valueOr(json, "state", std::string("active")));
    entry.zone = valueOr(json, "zone", std::string());
    entry.kind = valueOr(json, "kind", std::string());
    entry.cell = valueOr(json, "cell", 0U);
    entry.weight = valueOr(json, "weight", 1.0);
    entry.startedAt = milliseconds(valueOr(json, "started_ms", std::int64_t{0}));
    const auto address = Address::parse(valueOr(json, "addr", std::string()));
    if (!address && entry.availability != Availability::Gone)
        throw MembershipUpdateError("invalid address of endpoint " + entry.name);
    return {std::move(entry), address.value_or(Address{})};
}

Json toJson(const Member& member) {
    const MemberEntry& entry = member.entry;
    return {{"id", entry.name},
            {"addr", member.address.text()},
            {"zone", entry.zone},
            {"kind", entry.kind},
            {"cell", entry.cell},
            {"state", discoveryStateName(entry.availability)},
            {"weight", entry.weight},
            {"started_ms", std::chrono::duration_cast<milliseconds>(entry.startedAt).count()}};
}

}  // namespace

const char* discoveryStateName(Availability availability) {
    return availability == Availability::Ready      ? "active"
           : availability == Availability::Draining ? "leaving"
                                                    : "left";
}

MembershipUpdate MembershipUpdate::parse(std::string_view json) {
    const Json document = Json::parse(json);
    MembershipUpdate update;
    update.version = document.at("version").get<std::uint64_t>();
    update.full = valueOr(document, "full", false);
    for (const Json& member : document.at("servers")) {
        update.members.push_back(parseMember(member));
    }
    return update;
}

std::string MembershipUpdate::text() const {
    Json servers = Json::array();
    for (const Member& member : members) {
        servers.push_back(toJson(member));
    }
    return Json{{"version", version}, {"full", full}, {"servers", std::move(servers)}}.dump();
}

std::vector<MemberEntry> MembershipUpdate::entries() const {
    std::vector<MemberEntry> result;
    result.reserve(members.size());
    for (const Member& member : members) {
        result.push_back(member.entry);
    }
    return result;
}

}  // namespace ivyreel
