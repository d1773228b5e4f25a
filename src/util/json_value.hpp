// Optional values of JSON objects.
#pragma once

#include <nlohmann/json.hpp>
#include <utility>

namespace ivyreel {

// The value of a key, or the fallback if the key is absent or null: some programs that write endpoint lists
// and configurations write every key, with null for absent values. Throws nlohmann::json::type_error if the
// value has another type.
template <class T>
T valueOr(const nlohmann::json& object, const char* key, T fallback) {
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? std::move(fallback) : found->template get<T>();
}

}  // namespace ivyreel
