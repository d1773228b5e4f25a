// Indices of names that stay the same when the settings change.
//
// The decision engine identifies request classes, tenants, zones and server kinds by their index in a list of
// names. The index of a listed name is the same for the lifetime of the process: new settings may reorder,
// add and drop names, but the lists of names in use only grow, by appending. A class, tenant or kind that is
// not in its list gets the size of the list as its index; after new settings have appended names, that index
// refers to the first of them. An unknown zone is appended.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings_parser.hpp"

namespace ivyreel {

// Returns the index of a name, or the size of the list if it does not contain the name.
std::uint32_t indexOf(const std::vector<std::string>& names, std::string_view name);

// Reorders the lists of `next` so that each name in `current` keeps its index. A name that is missing in
// `next` is added with its current values.
void keepIndices(NodeSettings& next, const NodeSettings& current);

// Reorders values from the order of the names `from` to the order of the names `to`. A name that is only in
// `to` gets 0; the value of a name that is only in `from` is dropped.
std::vector<double> reorderedValues(const std::vector<double>& values, const std::vector<std::string>& from,
                                    const std::vector<std::string>& to);

}  // namespace ivyreel
