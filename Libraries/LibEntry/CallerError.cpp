/// @file Mapping of errors to HTTP.

#include "LibEntry/CallerError.h"
#include "LibTelemetry/AdminServer.h"

#include <Poco/JSON/Array.h>

namespace Entry {

int httpStatus(CallerCode code)
{
    switch (code) {
    case CallerCode::InvalidInput:
        return 400;
    case CallerCode::NotFound:
        return 404;
    case CallerCode::KeyUsed:
        return 409;
    case CallerCode::KeyExpired:
        return 410;
    case CallerCode::TooLarge:
        return 413;
    case CallerCode::AccountBusy:
        return 429;
    case CallerCode::NotRun:
        return 503;
    case CallerCode::OutcomeUnknown:
        return 502;
    case CallerCode::Timeout:
        return 504;
    }
    return 500;
}

std::string_view callerCodeName(CallerCode code)
{
    switch (code) {
    case CallerCode::InvalidInput:
        return "invalid-input";
    case CallerCode::NotFound:
        return "unknown";
    case CallerCode::KeyUsed:
        return "key-used";
    case CallerCode::KeyExpired:
        return "key-expired";
    case CallerCode::TooLarge:
        return "too-large";
    case CallerCode::AccountBusy:
    case CallerCode::NotRun:
        return "not-run";
    case CallerCode::OutcomeUnknown:
        return "outcome-unknown";
    case CallerCode::Timeout:
        return "timeout";
    }
    return "internal";
}

std::string callerErrorJson(const CallerError &error)
{
    Poco::JSON::Object::Ptr inner = new Poco::JSON::Object;
    inner->set("code", std::string(callerCodeName(error.m_code)));
    inner->set("step", error.m_error.m_step);
    inner->set("peer", error.m_error.m_peer);
    inner->set("detail", error.m_error.m_detail);
    if (!error.m_addresses.empty()) {
        Poco::JSON::Array::Ptr addresses = new Poco::JSON::Array;
        for (const std::string &address : error.m_addresses) {
            addresses->add(address);
        }
        inner->set("addresses", addresses);
    }
    Poco::JSON::Object::Ptr outer = new Poco::JSON::Object;
    outer->set("error", inner);
    return Telemetry::toJsonText(outer);
}

std::int64_t retryAfterSeconds(Core::Duration wait)
{
    return std::max<std::int64_t>(1, (wait.count() + 999) / 1000);
}

}
