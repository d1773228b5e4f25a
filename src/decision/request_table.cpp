#include "decision/request_table.hpp"

namespace ivyreel {

Request* RequestTable::find(RequestId id) {
    const auto at = requests_.find(id);
    return at == requests_.end() ? nullptr : &at->second;
}

const Request* RequestTable::find(RequestId id) const {
    const auto at = requests_.find(id);
    return at == requests_.end() ? nullptr : &at->second;
}

void RequestTable::erase(RequestId id) {
    requests_.erase(id);
    unconnected_.erase(id);
}

}  // namespace ivyreel
