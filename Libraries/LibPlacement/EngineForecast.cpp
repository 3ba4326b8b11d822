/// @file Implementation of the engine and service models.

#include "LibPlacement/EngineForecast.h"

#include <algorithm>

namespace Placement {

namespace {

constexpr double MillisecondsPerSecond = 1000;
constexpr double Thousand = 1000;
constexpr double Million = 1e6;

}

std::uint32_t requestsAhead(const EndpointLoad &load)
{
    return std::max(load.m_running + load.m_waiting + load.m_sentSinceReport, load.m_inFlight);
}

double promptMilliseconds(const Fleet::EngineModel &engine, std::uint32_t tokens)
{
    if (engine.m_promptTokensPerSecond <= 0) {
        return 0;
    }
    const double count = tokens;
    const double pairs = count * count / 2 / Million;
    return count / engine.m_promptTokensPerSecond * MillisecondsPerSecond + pairs * engine.m_millisecondsPerMillionPairs;
}

double stepMilliseconds(const Fleet::EngineModel &engine, std::uint32_t running)
{
    const double context = engine.m_usualPromptTokens + engine.m_usualAnswerTokens / 2.0;
    const double perRequest = engine.m_stepMillisecondsPerRequest + engine.m_stepMillisecondsPerThousandContext * context / Thousand;
    return engine.m_stepMilliseconds + running * perRequest;
}

double saturatedIntervalMilliseconds(const Fleet::EngineModel &engine)
{
    const double slots = std::max<std::uint32_t>(engine.m_slots, 1);
    const double decoding = engine.m_usualAnswerTokens * stepMilliseconds(engine, engine.m_slots) / slots;
    return promptMilliseconds(engine, engine.m_usualPromptTokens) + decoding;
}

double finishedPerSecond(const Fleet::EngineModel &engine)
{
    const double interval = saturatedIntervalMilliseconds(engine);
    return interval > 0 ? MillisecondsPerSecond / interval : 0;
}

double longestAnswerMilliseconds(const Fleet::EngineModel &engine, const RequestSize &request)
{
    const std::uint32_t tokens = request.m_answerTokens > 0 ? request.m_answerTokens : engine.m_usualAnswerTokens;
    const double slots = std::max<std::uint32_t>(engine.m_slots, 1);
    // The engine reads the prompts of newly admitted requests between the steps.
    const double prompts = promptMilliseconds(engine, engine.m_usualPromptTokens) * slots / std::max<std::uint32_t>(engine.m_usualAnswerTokens, 1);
    return tokens * (stepMilliseconds(engine, engine.m_slots) + prompts);
}

double answerMilliseconds(const Fleet::EngineModel &engine, const RequestSize &request)
{
    RequestSize usual = request;
    usual.m_answerTokens = std::min(request.m_answerTokens, engine.m_usualAnswerTokens);
    return longestAnswerMilliseconds(engine, usual);
}

double queueMilliseconds(const Fleet::EngineModel &engine, const EndpointLoad &load)
{
    const std::uint32_t ahead = requestsAhead(load);
    const std::uint32_t slots = std::max<std::uint32_t>(engine.m_slots, 1);
    // The prompts of waiting requests and of those sent after the report are read first.
    const std::uint32_t unread = std::min(load.m_waiting + load.m_sentSinceReport, slots);
    double milliseconds = unread * promptMilliseconds(engine, engine.m_usualPromptTokens);
    if (ahead >= slots) {
        milliseconds += (ahead - slots + 1) * saturatedIntervalMilliseconds(engine);
    }
    return milliseconds * std::max(load.m_pace, 1.0);
}

double firstEventMilliseconds(const Fleet::EngineModel &engine, const EndpointLoad &load, const RequestSize &request)
{
    const std::uint32_t running = std::min(requestsAhead(load) + 1, std::max<std::uint32_t>(engine.m_slots, 1));
    const double own = promptMilliseconds(engine, request.m_promptTokens) + stepMilliseconds(engine, running);
    return queueMilliseconds(engine, load) + own * std::max(load.m_pace, 1.0);
}

double plainAnswerMilliseconds(std::uint32_t slots, const EndpointLoad &load, double usual)
{
    const std::uint32_t slotCount = std::max<std::uint32_t>(slots, 1);
    const std::uint32_t ahead = requestsAhead(load);
    const double waiting = ahead >= slotCount ? static_cast<double>(ahead - slotCount + 1) / slotCount : 0;
    return usual * (1 + waiting) * std::max(load.m_pace, 1.0);
}

}
