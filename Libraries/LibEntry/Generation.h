/// @file The course of one generate request: version, endpoint, attempts, and what the caller gets.
#pragma once

#include "LibEntry/CallerRequest.h"
#include "LibEntry/Frontend.h"
#include "LibEntry/LiveAttempt.h"

namespace Entry {

/// Where an answer goes as it comes. Each function returns false once the caller is gone.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /// The first frame was checked; the answer comes from this version.
    virtual bool onVersion(const ServedVersion &version) = 0;
    virtual bool onToken(const std::string &token) = 0;
    virtual bool onEnd(std::uint64_t tokens, const std::string &digest) = 0;
    /// Nothing more is there for now: what was given goes out.
    virtual bool flush() = 0;
    virtual bool isDisconnected() = 0;
};

/// Runs a request to its end. An error after onVersion() means that the answer stays incomplete. Empty if the answer is whole or the caller gone.
std::optional<CallerError> generate(Frontend &frontend, const GenerateRequest &request, Core::Instant deadline, AnswerSink &sink);

}
