#include "requests/tracked_request.hpp"

#include <cstdint>

#include "requests/request_tracker.hpp"

namespace ivyreel {

TrackedRequest::TrackedRequest(RequestTracker& tracker, DecisionListener& listener,
                               const RequestAttributes& attributes)
    : tracker_(tracker),
      listener_(listener),
      arrival_(tracker.makeArrival(attributes)),
      expectedLoad_(attributes.loadHint.value_or(0.0)) {}

TrackedRequest::~TrackedRequest() {
    if (knownToEngine_) tracker_.sendToEngine(ClientDisconnected{arrival_.request});
    tracker_.removeRequest(*this);
}

AttemptIndex TrackedRequest::attemptIndex() const {
    return AttemptIndex{static_cast<std::uint8_t>(attempts_ - 1)};
}

}  // namespace ivyreel
