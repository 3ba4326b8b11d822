/// @file How long an endpoint will take to begin an answer: a pure model of batching engines and of plain services.
#pragma once

#include "LibCore/Clock.h"
#include "LibFleet/Configuration.h"

#include <cstdint>
#include <optional>

namespace Placement {

/// How much work an endpoint has, as far as this process can tell.
struct EndpointLoad
{
    std::uint32_t m_running = 0; ///< As last reported.
    std::uint32_t m_waiting = 0; ///< As last reported.
    std::uint32_t m_sentSinceReport = 0; ///< Requests that this process sent after the report was made and that have not ended.
    std::uint32_t m_inFlight = 0; ///< Requests of this process that have not ended.
    double m_pace = 1; ///< Over 1 means that the endpoint is that many times slower than stated.

    bool operator==(const EndpointLoad &) const = default;
};

/// What a request asks of an engine.
struct RequestSize
{
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_answerTokens = 0; ///< Upper bound.

    bool operator==(const RequestSize &) const = default;
};

/// Requests that are at the endpoint already.
std::uint32_t requestsAhead(const EndpointLoad &load);

/// Milliseconds that an engine takes to read a prompt while it does nothing else.
double promptMilliseconds(const Fleet::EngineModel &engine, std::uint32_t tokens);

/// Milliseconds of one step while @p running requests are decoded.
double stepMilliseconds(const Fleet::EngineModel &engine, std::uint32_t running);

/// Mean milliseconds between two requests that a full engine finishes.
double saturatedIntervalMilliseconds(const Fleet::EngineModel &engine);

/// Requests that a full engine finishes in a second; 0 if that is not stated.
double finishedPerSecond(const Fleet::EngineModel &engine);

/// Expected milliseconds from the first step of a request until its answer ends, at a full engine.
double answerMilliseconds(const Fleet::EngineModel &engine, const RequestSize &request);

/// Expected milliseconds from sending a request until the engine begins to read its prompt.
double queueMilliseconds(const Fleet::EngineModel &engine, const EndpointLoad &load);

/// Expected milliseconds from sending a request to the first event of its answer.
double firstEventMilliseconds(const Fleet::EngineModel &engine, const EndpointLoad &load, const RequestSize &request);

/// Expected milliseconds from sending a request to a plain service until its answer. @p usual is the usual time of an answer that does not wait.
double plainAnswerMilliseconds(std::uint32_t slots, const EndpointLoad &load, double usual);

}
