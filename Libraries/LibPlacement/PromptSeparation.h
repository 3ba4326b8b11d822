/// @file Keeps long prompts away from short ones on engines that serve both, without engines that are set aside for either.
#pragma once

#include "LibCore/Clock.h"
#include "LibFleet/Configuration.h"
#include "LibPlacement/EngineForecast.h"

#include <string>

namespace Placement {

struct PromptSeparationSettings
{
    double m_longRatio = 2; ///< A prompt is long if it has at least this many times the mean number of tokens.
    double m_weight = 0.01; ///< Weight of a new prompt in the moving averages, which cover about the last hundred.
    double m_minimumShare = 0.02; ///< With a smaller share of long prompts in the work they are not told apart.

    bool operator==(const PromptSeparationSettings &) const = default;
};

/// Sizes of the recent prompts for one service, as this process saw them. Other processes see about the same, since callers choose entries at random.
class PromptSizes
{
public:
    /// @p mayBeLong: whether the request's objective leaves room for waiting behind other long prompts.
    void record(const Fleet::EngineModel &engine, const RequestSize &size, bool mayBeLong, const PromptSeparationSettings &settings);
    /// Returns whether the prompt is long compared with the recent ones.
    bool isLong(std::uint32_t promptTokens, const PromptSeparationSettings &settings) const;
    /// Returns the part of the engines' work that requests with long prompts cause, from 0 to 1.
    double longShare() const
    {
        return m_meanWork > 0 ? m_meanLongWork / m_meanWork : 0;
    }

private:
    double m_meanTokens = 0; ///< Moving average; 0 before the first prompt.
    double m_meanWork = 0; ///< Moving average of the engine milliseconds of a request.
    double m_meanLongWork = 0; ///< As m_meanWork, with other requests counted as 0.
};

/// Which engines a request prefers.
struct PromptPreference
{
    double m_longShare = 0; ///< Part of the engines that read long prompts; 0 if they are not told apart.
    bool m_isLong = false;

    bool operator==(const PromptPreference &) const = default;
};

/// Returns the preference of a request, given the recent sizes. @p mayBeLong: as for PromptSizes::record().
PromptPreference promptPreference(const PromptSizes &sizes, std::uint32_t promptTokens, bool mayBeLong, const PromptSeparationSettings &settings);

/**
 * Returns whether a request with the preference should rather go to the engine.
 *
 * Answers load in which prompts differ much in length: an engine reads prompts between the steps of all its requests, so that a long one holds up whatever
 * waits or runs there. A part of the engines as large as the long prompts' part of the work reads those. Its members follow from the ids of the engines, so
 * that all entries choose the same ones without messages, and change smoothly with the load.
 */
bool isPreferred(const std::string &engine, const PromptPreference &preference);

}
