#include "proxy/client_responses.hpp"

#include <chrono>
#include <string>

#include "protocol/keywords.hpp"

namespace ivyreel {

Task<void> ClientResponses::sendBusy(ConnectionPair& connections, RequestClassMetrics& classMetrics,
                                     Micros retryAfter) {
    ++metrics_.rejected;
    ++classMetrics.deferred;
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
    std::string line(keyword::kBusy);
    if (milliseconds > 0) line.append(" ").append(std::to_string(milliseconds));
    return closeWithFinalLine(connections, line.append(kLineEnd));
}

Task<void> ClientResponses::sendFailure(ConnectionPair& connections, RequestClassMetrics& classMetrics) {
    ++metrics_.failed;
    ++classMetrics.errored;
    return closeWithFinalLine(connections, std::string(fixed_line::kError));
}

Task<void> ClientResponses::rejectInput(ConnectionPair& connections, InputError error,
                                        RequestClassMetrics* classMetrics) {
    ++metrics_.badInput;
    if (classMetrics != nullptr) ++classMetrics->errored;
    ++counterOf(error);
    return closeWithFinalLine(connections, std::string(fixed_line::kError));
}

std::uint64_t& ClientResponses::counterOf(InputError error) {
    switch (error) {
        case InputError::OverlongLine:
            return metrics_.badLength;
        case InputError::UnknownClass:
            return metrics_.badClass;
        case InputError::InvalidNumber:
            return metrics_.badNumber;
        case InputError::DuplicateId:
            return metrics_.badId;
        case InputError::UnexpectedInput:
            return metrics_.badEarly;
        case InputError::Malformed:
            break;
    }
    return metrics_.badLine;
}

}  // namespace ivyreel
