/// @file The course of one call to a plain service, repeatable or not.
#pragma once

#include "LibEntry/CallerRequest.h"
#include "LibEntry/Frontend.h"
#include "LibEntry/LiveAttempt.h"

#include <functional>

namespace Entry {

/// A whole answer of a plain service.
struct ServiceAnswer
{
    std::int32_t m_status = 200;
    std::string m_body;

    bool operator==(const ServiceAnswer &) const = default;
};

using ServiceResult = std::variant<ServiceAnswer, CallerError>;

/// Runs a call to its end. @p isGone tells whether the caller went away; a call that may not be repeated is then finished all the same.
ServiceResult callService(Frontend &frontend, const CallRequest &request, Core::Instant deadline, const std::function<bool()> &isGone);

}
