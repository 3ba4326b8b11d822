/// @file Handler of the page /faults, which shows and changes the fault switches of a stand-in.
#pragma once

#include "LibJson/Json.h"
#include "LibStandIn/Faults.h"
#include "LibStandIn/HttpServer.h"

#include <string>

namespace StandIn {

/// Maximum size of the body of POST /faults, in bytes.
inline constexpr std::size_t MaximumFaultBytes = 1 << 20;

/// Applies the change in the body of a POST. Fails with InvalidInput and changes nothing if the body is malformed.
template <typename Switches>
Core::Result<void> changeFromRequest(FaultState<Switches> &state, Poco::Net::HTTPServerRequest &request)
{
    const std::string body = BOOST_OUTCOME_TRYX(readBody(request, MaximumFaultBytes));
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(Json::parseObject(body));
    return state.apply(*object);
}

/// Answers GET and POST /faults with the current switches, formatted by @p show.
template <typename Switches>
void answerFaultPage(FaultState<Switches> &state,
                     std::string (*show)(const Switches &),
                     Poco::Net::HTTPServerRequest &request,
                     Poco::Net::HTTPServerResponse &response)
{
    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    if (request.getMethod() == "POST") {
        const Core::Result<void> changed = changeFromRequest(state, request);
        if (!changed) {
            return sendError(response, statusBadRequest, changed.error());
        }
    }
    sendAnswer(response, statusOk, "application/json", show(state.current()));
}

}
