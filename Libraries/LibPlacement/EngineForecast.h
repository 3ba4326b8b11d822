/// @file Models of batching engines and of plain services that predict when an answer begins. The functions depend only on their arguments.
#pragma once

#include "LibCore/Clock.h"
#include "LibFleet/Configuration.h"

#include <cstdint>
#include <optional>

namespace Placement {

/// Load of an endpoint as far as this process knows.
struct EndpointLoad
{
    std::uint32_t m_running = 0; ///< As last reported.
    std::uint32_t m_waiting = 0; ///< As last reported.
    std::uint32_t m_sentSinceReport = 0; ///< Requests that this process sent after the last report and that have not ended.
    std::uint32_t m_inFlight = 0; ///< Requests of this process that have not ended.
    double m_pace = 1; ///< Factor by which the endpoint is slower than its model states. Values below 1 count as 1.

    bool operator==(const EndpointLoad &) const = default;
};

/// Tokens that an engine processes for a request.
struct RequestSize
{
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_answerTokens = 0; ///< Upper bound.

    bool operator==(const RequestSize &) const = default;
};

/// Returns the number of requests that are already at the endpoint.
std::uint32_t requestsAhead(const EndpointLoad &load);

/// Returns the milliseconds in which an otherwise idle engine reads a prompt.
double promptMilliseconds(const Fleet::EngineModel &engine, std::uint32_t tokens);

/// Returns the milliseconds of one step while @p running requests are decoded.
double stepMilliseconds(const Fleet::EngineModel &engine, std::uint32_t running);

/// Returns the mean milliseconds between two requests that a full engine finishes.
double saturatedIntervalMilliseconds(const Fleet::EngineModel &engine);

/// Returns the requests that a full engine finishes per second; 0 if the model does not state its times.
double finishedPerSecond(const Fleet::EngineModel &engine);

/// Returns the expected milliseconds from the first step of a request to the end of its answer at a full engine.
double answerMilliseconds(const Fleet::EngineModel &engine, const RequestSize &request);

/// Returns the same for the longest answer that the request allows, although most answers are no longer than usual.
double longestAnswerMilliseconds(const Fleet::EngineModel &engine, const RequestSize &request);

/// Returns the expected milliseconds from sending a request until the engine begins to read its prompt.
double queueMilliseconds(const Fleet::EngineModel &engine, const EndpointLoad &load);

/// Returns the expected milliseconds from sending a request to the first event of its answer.
double firstEventMilliseconds(const Fleet::EngineModel &engine, const EndpointLoad &load, const RequestSize &request);

/// Returns the expected milliseconds from sending a request to a plain service to its answer. @p usual: milliseconds of an answer that does not queue.
double plainAnswerMilliseconds(std::uint32_t slots, const EndpointLoad &load, double usual);

}
