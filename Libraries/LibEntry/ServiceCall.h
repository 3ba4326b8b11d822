/// @file Execution of one call to a plain service, with or without an idempotency key.
#pragma once

#include "LibEntry/CallerRequest.h"
#include "LibEntry/Frontend.h"
#include "LibEntry/LiveAttempt.h"

#include <functional>

namespace Entry {

/// A complete answer of a plain service.
struct ServiceAnswer
{
    std::int32_t m_status = 200;
    std::string m_body;

    bool operator==(const ServiceAnswer &) const = default;
};

using ServiceResult = std::variant<ServiceAnswer, CallerError>;

/**
 * Runs a call to its end. @p isDisconnected returns true if the caller has disconnected; a keyed call is completed nevertheless.
 *
 * @p answerMemory is enlarged to the size of the answer, for as long as the caller of this function holds it. A call is refused before it is sent while the
 * memory for answers is nearly in use.
 */
ServiceResult callService(
    Frontend &frontend, const CallRequest &request, Core::Instant deadline, const std::function<bool()> &isDisconnected, Core::ByteReservation &answerMemory);

}
