/// @file Execution of one generate request: choice of version and endpoint, attempts, and delivery of the answer.
#pragma once

#include "LibEntry/CallerRequest.h"
#include "LibEntry/Frontend.h"
#include "LibEntry/LiveAttempt.h"

namespace Entry {

/// Receives an answer while it is generated. The functions that return bool, except isDisconnected(), return false once the caller has disconnected.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /// Called after the first frame was checked; the answer comes from this version.
    virtual bool onVersion(const ServedVersion &version) = 0;
    virtual bool onToken(const std::string &token) = 0;
    virtual bool onEnd(std::uint64_t tokens, const std::string &digest) = 0;
    /// Sends everything received so far; called when no more frames are available.
    virtual bool flush() = 0;
    virtual bool isDisconnected() = 0;
};

/// Runs a request to its end. Returns nothing if the answer is complete or the caller disconnected. An error after onVersion() means that the answer
/// remains incomplete.
std::optional<CallerError> generate(Frontend &frontend, const GenerateRequest &request, Core::Instant deadline, AnswerSink &sink);

}
