#include "hot_restart/handover_messages.hpp"

#include <cstdint>
#include <string_view>
#include <utility>

#include "protocol/line.hpp"
#include "protocol/load_values.hpp"
#include "util/number_parsing.hpp"

namespace ivyreel {

namespace {

using Json = nlohmann::json;

constexpr int kProtocolVersion = 1;

std::string toHex(std::string_view bytes) {
    static constexpr std::string_view kDigits = "0123456789abcdef";
    std::string result;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        result.push_back(kDigits[byte >> 4U]);
        result.push_back(kDigits[byte & 0xfU]);
    }
    return result;
}

std::string fromHex(std::string_view digits) {
    std::string result;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
        result.push_back(static_cast<char>(parseNumber<unsigned char>(digits.substr(i, 2), 16).value_or(0)));
    }
    return result;
}

std::string toLine(const Json& message) {
    return message.dump() + "\n";
}

// Whether a relay can resume the connection: its opening line is valid, and the counts of bytes to send do
// not exceed the buffered bytes.
bool isConsistent(const EstablishedConnection& connection) {
    const auto line = firstLine(connection.openingLine);
    if (!line || !OpeningLine::parse(line->text)) return false;
    const RelayState& relay = connection.relay;
    return relay.completeClientBytes <= relay.fromClient.size() &&
           relay.completeUpstreamBytes <= relay.fromUpstream.size();
}

// The load of a transferred connection; none if it is absent or malformed. A predecessor of an earlier
// version may send null in place of a number that is not finite.
std::optional<double> loadFrom(const Json& content) {
    const auto load = content.find("load");
    if (load == content.end() || !load->is_number()) return std::nullopt;
    const auto value = load->get<double>();
    return isReportedValue(value) ? std::optional(value) : std::nullopt;
}

EstablishedConnection connectionFrom(const Json& content) {
    EstablishedConnection connection;
    connection.openingLine = fromHex(content.at("connection").get<std::string>());
    connection.endpoint = EndpointId{content.at("host").get<std::uint64_t>()};
    connection.relay.fromClient = fromHex(content.at("from_client").get<std::string>());
    connection.relay.fromUpstream = fromHex(content.at("from_host").get<std::string>());
    connection.relay.completeClientBytes = content.at("to_host").get<std::size_t>();
    connection.relay.completeUpstreamBytes = content.at("to_client").get<std::size_t>();
    connection.relay.unansweredSince = Time{content.at("unanswered").get<Time::rep>()};
    connection.load = loadFrom(content);
    return connection;
}

// The key that is present determines the type of the message.
HandoverMessage messageFrom(Json content) {
    if (content.contains("serves")) return ServingNotice{};
    if (content.contains("holds")) return DescriptorCount{content.at("holds").get<std::size_t>()};
    if (content.contains("ban"))
        return BanNotice{EndpointId{content.at("ban").get<std::uint64_t>()}, content.at("on").get<bool>()};
    if (content.contains("request"))
        return RequestNotice{content.at("request").get<std::uint64_t>(), content.at("open").get<bool>()};
    if (content.contains("connection")) return ConnectionTransfer{std::move(content)};
    if (content.contains("reload")) return ReloadNotice{};
    return std::monostate{};
}

}  // namespace

std::optional<HandoverRequest> HandoverRequest::parse(const std::string& text) {
    const Json content = Json::parse(text, nullptr, false);
    if (!content.is_object() || content.value("successor", Json{}) != Json(kProtocolVersion))
        return std::nullopt;
    const Json listen = content.value("listen", Json{});
    const Json adminAddress = content.value("console", Json(""));
    if (!listen.is_string() || !adminAddress.is_string()) return std::nullopt;
    return HandoverRequest{listen.get<std::string>(), adminAddress.get<std::string>()};
}

EstablishedConnection ConnectionTransfer::parse() const {
    try {
        EstablishedConnection connection = connectionFrom(content);
        if (!isConsistent(connection))
            throw HandoverError(
                "inconsistent connection transfer: its opening line is invalid, or it has more bytes to "
                "send than it has buffered");
        return connection;
    } catch (const Json::exception& error) {
        throw HandoverError(std::string("malformed connection transfer: ") + error.what());
    }
}

HandoverMessage parseMessage(const std::string& text) {
    try {
        return messageFrom(Json::parse(text));
    } catch (const Json::exception& error) {
        throw HandoverError(std::string("malformed message: ") + error.what());
    }
}

std::string encode(const HandoverRequest& request) {
    return toLine(
        Json{{"successor", kProtocolVersion}, {"listen", request.listen}, {"console", request.adminAddress}});
}

std::string encode(const ServingNotice& /*notice*/) {
    return toLine(Json{{"serves", true}});
}

std::string encode(const DescriptorCount& count) {
    return toLine(Json{{"holds", count.count}});
}

std::string encode(const BanNotice& notice) {
    return toLine(Json{{"ban", static_cast<std::uint64_t>(notice.endpoint)}, {"on", notice.banned}});
}

std::string encode(const RequestNotice& notice) {
    return toLine(Json{{"request", notice.id}, {"open", notice.open}});
}

std::string encode(const ReloadNotice& /*notice*/) {
    return toLine(Json{{"reload", true}});
}

std::string encode(const EstablishedConnection& connection) {
    Json content{{"connection", toHex(connection.openingLine)},
                 {"host", static_cast<std::uint64_t>(connection.endpoint)},
                 {"from_client", toHex(connection.relay.fromClient)},
                 {"from_host", toHex(connection.relay.fromUpstream)},
                 {"to_host", connection.relay.completeClientBytes},
                 {"to_client", connection.relay.completeUpstreamBytes},
                 {"unanswered", connection.relay.unansweredSince.count()}};
    if (connection.load) content["load"] = *connection.load;
    return toLine(content);
}

}  // namespace ivyreel
