/// @file Which endpoint a request goes to, or why none may take it: a pure decision.
#pragma once

#include "LibCore/Random.h"
#include "LibPlacement/EndpointTracker.h"
#include "LibPlacement/SlotTracker.h"

#include <optional>
#include <set>
#include <string>

namespace Placement {

/// What the decision needs to know of a request.
struct ChoiceRequest
{
    std::string m_service;
    std::string m_model; ///< Empty for plain services.
    std::optional<std::uint64_t> m_requiredVersion; ///< Of the model's weights, if no other may answer any more.
    std::optional<std::uint64_t> m_newestVersion; ///< Declared for the model; engines that have it are not about to load.
    RequestSize m_size;
    /**
     * Places that this process's part must hold for the request to be admitted; empty if it is admitted in any case. An answer that begins within its
     * objective is worth four late ones, and an overloaded engine that takes everybody answers everybody late.
     */
    std::optional<double> m_neededSlots;
    std::set<std::string> m_excluded; ///< Endpoints that have failed this request.
    bool m_canWait = false; ///< Endpoints that failed lately are not taken, even if there is no other.
};

/// What the decision needs to know of the fleet.
struct ChoiceView
{
    const std::map<std::string, Fleet::KnownEndpoint> &m_endpoints;
    const EndpointTracker &m_endpointTracker;
    const SlotTracker &m_slotTracker; ///< Of the engines' places.
    const Fleet::EngineModel &m_engine; ///< Of the service; without slots for plain services.
    std::string m_ownFailureDomain;
    Core::Instant m_now;
};

struct Choice
{
    Fleet::Endpoint m_endpoint;
    double m_expectedMilliseconds = 0; ///< To the first event, or to the answer of a plain service.
    std::optional<std::uint64_t> m_version; ///< Of the model's weights there; empty for plain services.
    EndpointLoad m_load; ///< That the expectation rests on.
    Core::Duration m_reportAge{0}; ///< Of the load that the expectation rests on; negative if no load was ever reported.
};

/// Why no endpoint was chosen.
enum class NoChoiceReason {
    NoEndpoint, ///< The service has no endpoint that takes work.
    NoWeights, ///< Endpoints exist, but none has the weights.
    AllTried, ///< Every endpoint that could has failed this request.
    Overloaded, ///< The engines have no place for it.
};

std::string_view noChoiceReasonName(NoChoiceReason reason);

/// Either a choice or the reason why there is none.
struct ChoiceResult
{
    std::optional<Choice> m_choice;
    NoChoiceReason m_reason = NoChoiceReason::NoEndpoint;
};

/**
 * Takes a few of the usable endpoints at random and chooses the one that is expected to begin first; near ones win a tie.
 *
 * Every process decides alone on reports that all of them have. If each took the best of all, all would take the same one until the next report;
 * a sample spreads them. Endpoints that failed lately are taken only if there is no other.
 */
ChoiceResult chooseEndpoint(const ChoiceRequest &request, const ChoiceView &view, Core::Random &random);

/// The version of the model, of @p layers layers, that an endpoint has whole by its newest report; empty if it has none or loads another now.
std::optional<std::uint64_t>
usableVersion(const Fleet::Endpoint &endpoint, const EndpointRecord &record, const std::string &model, std::uint32_t layers, Core::Instant now);

}
