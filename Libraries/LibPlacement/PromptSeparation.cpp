/// @file Implementation of the separation of long prompts from short ones.

#include "LibPlacement/PromptSeparation.h"

#include "LibCore/Random.h"

namespace Placement {

namespace {

/// Returns the part of the engines that reads long prompts. Few engines with large requests need more room than many, so it exceeds their part of the work.
double partOfEngines(double longShare)
{
    constexpr double extra = 0.5;
    return longShare + extra * longShare * (1 - longShare);
}

void average(double &mean, double value, double weight)
{
    mean += weight * (value - mean);
}

/// Returns the engine milliseconds that the request causes in a full batch.
double workMilliseconds(const Fleet::EngineModel &engine, const RequestSize &size)
{
    const double slots = std::max<std::uint32_t>(engine.m_slots, 1);
    return promptMilliseconds(engine, size.m_promptTokens) + engine.m_usualAnswerTokens * stepMilliseconds(engine, engine.m_slots) / slots;
}

}

void PromptSizes::record(const Fleet::EngineModel &engine, const RequestSize &size, bool mayBeLong, const PromptSeparationSettings &settings)
{
    const double work = workMilliseconds(engine, size);
    const bool isLong = mayBeLong && this->isLong(size.m_promptTokens, settings);
    const double weight = m_meanTokens == 0 ? 1 : settings.m_weight;
    average(m_meanTokens, size.m_promptTokens, weight);
    average(m_meanWork, work, weight);
    average(m_meanLongWork, isLong ? work : 0, weight);
}

bool PromptSizes::isLong(std::uint32_t promptTokens, const PromptSeparationSettings &settings) const
{
    return m_meanTokens > 0 && promptTokens >= settings.m_longRatio * m_meanTokens;
}

PromptPreference promptPreference(const PromptSizes &sizes, std::uint32_t promptTokens, bool mayBeLong, const PromptSeparationSettings &settings)
{
    const double share = sizes.longShare();
    return share < settings.m_minimumShare ? PromptPreference{} : PromptPreference{share, mayBeLong && sizes.isLong(promptTokens, settings)};
}

bool isPreferred(const std::string &engine, const PromptPreference &preference)
{
    constexpr std::uint64_t positions = 1 << 20;
    const double position = static_cast<double>(Core::rendezvousWeight("long prompts", engine) % positions) / static_cast<double>(positions);
    return preference.m_longShare == 0 || (position < partOfEngines(preference.m_longShare)) == preference.m_isLong;
}

}
