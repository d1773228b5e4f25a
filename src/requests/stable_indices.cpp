#include "requests/stable_indices.hpp"

#include <algorithm>
#include <cstddef>

namespace ivyreel {

namespace {

// The current names in their order, followed by the new names.
std::vector<std::string> mergedNames(const std::vector<std::string>& next,
                                     const std::vector<std::string>& current) {
    std::vector<std::string> merged = current;
    for (const std::string& name : next) {
        if (indexOf(merged, name) == merged.size()) merged.push_back(name);
    }
    return merged;
}

// The value of each merged name: the next value, or the current value if the next settings drop the name.
template <class T>
std::vector<T> mergedValues(const std::vector<std::string>& merged, const std::vector<std::string>& nextNames,
                            const std::vector<T>& nextValues, const std::vector<T>& currentValues) {
    std::vector<T> values = currentValues;
    values.resize(merged.size());
    for (std::size_t i = 0; i < nextNames.size(); ++i) {
        values[indexOf(merged, nextNames[i])] = nextValues[i];
    }
    return values;
}

// Merges a list of names and the values that belong to them into `nextNames` and `nextValues`.
template <class T>
void mergeNamedValues(std::vector<std::string>& nextNames, std::vector<T>& nextValues,
                      const std::vector<std::string>& currentNames, const std::vector<T>& currentValues) {
    std::vector<std::string> merged = mergedNames(nextNames, currentNames);
    nextValues = mergedValues(merged, nextNames, nextValues, currentValues);
    nextNames = std::move(merged);
}

std::string zoneName(const NodeSettings& settings) {
    const auto zone = static_cast<std::size_t>(settings.settings.zone);
    return zone < settings.zoneNames.size() ? settings.zoneNames[zone] : std::string();
}

}  // namespace

std::uint32_t indexOf(const std::vector<std::string>& names, std::string_view name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return static_cast<std::uint32_t>(found - names.begin());
}

void keepIndices(NodeSettings& next, const NodeSettings& current) {
    const std::string ownZone = zoneName(next);
    mergeNamedValues(next.classNames, next.settings.classes, current.classNames, current.settings.classes);
    mergeNamedValues(next.tenantNames, next.settings.tenants, current.tenantNames, current.settings.tenants);
    next.zoneNames = mergedNames(next.zoneNames, current.zoneNames);
    next.kindNames = mergedNames(next.kindNames, current.kindNames);
    next.settings.zone = ZoneIndex{indexOf(next.zoneNames, ownZone)};
}

std::vector<double> reorderedValues(const std::vector<double>& values, const std::vector<std::string>& from,
                                    const std::vector<std::string>& to) {
    std::vector<double> reordered(to.size());
    const std::size_t named = std::min(values.size(), from.size());
    for (std::size_t i = 0; i < named; ++i) {
        const std::size_t index = indexOf(to, from[i]);
        if (index < reordered.size()) reordered[index] = values[i];
    }
    return reordered;
}

}  // namespace ivyreel
