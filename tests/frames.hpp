// Helpers that build frames of the simulator's protocol.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ivyreel::test {

using Bytes = std::vector<std::uint8_t>;

// Parses hexadecimal digits; ignores spaces and line breaks.
inline Bytes hex(const std::string& text) {
    Bytes bytes;
    std::string digits;
    for (const char c : text) {
        if (c != ' ' && c != '\n') digits.push_back(c);
    }
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
        bytes.push_back(static_cast<std::uint8_t>(std::stoi(digits.substr(i, 2), nullptr, 16)));
    }
    return bytes;
}

// Appends an integer of `width` bytes in little-endian order.
inline void appendInteger(Bytes& bytes, std::uint64_t value, std::size_t width) {
    for (std::size_t i = 0; i < width; ++i) {
        bytes.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
    }
}

inline Bytes operator+(Bytes left, const Bytes& right) {
    left.insert(left.end(), right.begin(), right.end());
    return left;
}

inline Bytes record(std::uint8_t code, const Bytes& fields) {
    Bytes bytes{code};
    appendInteger(bytes, fields.size(), 4);
    return bytes + fields;
}

// A record that selects the node to which the following records belong.
inline Bytes selectNode(std::uint16_t node) {
    Bytes fields;
    appendInteger(fields, node, 2);
    return record(14, fields);
}

// A record that starts the selected node.
inline Bytes startNode(const std::string& settings, std::uint64_t seed = 7) {
    Bytes fields;
    appendInteger(fields, seed, 8);
    appendInteger(fields, settings.size(), 4);
    return record(1, fields + Bytes(settings.begin(), settings.end()));
}

inline Bytes frame(std::uint64_t now, const std::vector<Bytes>& records) {
    Bytes body;
    appendInteger(body, records.size(), 4);
    appendInteger(body, now, 8);
    for (const Bytes& bytes : records) {
        body.insert(body.end(), bytes.begin(), bytes.end());
    }
    Bytes result;
    appendInteger(result, body.size(), 4);
    return result + body;
}

// A record that stores two ready endpoints as list 0.
inline Bytes twoEndpoints() {
    return hex(
        "0b 38000000 0000 02000000"
        "0000803f 0000 0a124a07 431f 0000 03 0000000000000000 0000"
        "0000c03f 0000 0a9011f2 6c1f 0100 03 0000000000000000 0000");
}

// Settings of a node with one request class and one unknown key.
inline const char* smallSettings() {
    return R"({"bounds": {"attemptsCap": 4, "cancel": true, "probes": true, "retryAfter": true,
               "maxRetryAfter": 1500000}, "instances": 1, "registryMode": "push", "report": {"fields": ["x0"],
               "how": "on_probe"}, "grades": [{"aim": 800000, "giveUp": 3200000, "repeat": "free"}],
               "resolution": 4000, "rules": {"answerSlack": 16000}, "neverHeardOf": [1, 2]})";
}

}  // namespace ivyreel::test
