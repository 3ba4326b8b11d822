/// @file Chooses the endpoint for a request, or gives the reason why there is none. The result depends only on the arguments.
#pragma once

#include "LibCore/Random.h"
#include "LibPlacement/AllowedPlaces.h"
#include "LibPlacement/ColdBudget.h"
#include "LibPlacement/EndpointTracker.h"
#include "LibPlacement/PromptSeparation.h"
#include "LibPlacement/RequestLimits.h"
#include "LibPlacement/SlotTracker.h"

#include <optional>
#include <set>
#include <string>

namespace Placement {

/// Properties of a request that the choice depends on.
struct ChoiceRequest
{
    std::string m_service;
    std::string m_model; ///< Empty for plain services.
    std::optional<std::uint64_t> m_requiredVersion; ///< Oldest version of the model's weights that may still answer; empty if any may.
    std::optional<std::uint64_t> m_newestVersion; ///< Newest version declared for the model. Engines that have it will not load another one soon.
    RequestSize m_size;
    /**
     * Number of slots that must be free in this process's share for the request to be admitted; empty if it is admitted in any case. An answer that begins
     * within its latency objective is worth four late ones, and an overloaded engine that accepts every request answers all of them late.
     */
    std::optional<double> m_neededSlots;
    std::set<std::string> m_excluded; ///< Ids of the endpoints at which this request has failed.
    bool m_canWait = false; ///< If set, endpoints that failed recently are not chosen even if there is no other.
    PromptPreference m_prompt; ///< The default prefers no engine.
    AllowedPlaces m_places; ///< Endpoints elsewhere are not chosen in any case.
};

/// State of the fleet that the choice depends on.
struct ChoiceView
{
    const std::map<std::string, Fleet::KnownEndpoint> &m_endpoints;
    const EndpointTracker &m_endpointTracker;
    const SlotTracker &m_slotTracker; ///< Free slots of the engines.
    const RequestLimits &m_requestLimits; ///< Limits that endpoints have stated.
    const Fleet::EngineModel &m_engine; ///< Engine model of the service; has no slots for plain services.
    std::string m_ownFailureDomain;
    Core::Instant m_now;
    const std::set<std::string> &m_evacuatedDomains; ///< Endpoints there are not chosen in any case.
    const ColdBudget &m_coldBudget;
};

struct Choice
{
    Fleet::Endpoint m_endpoint;
    double m_expectedMilliseconds = 0; ///< Time to the first event, or to the answer of a plain service.
    std::optional<std::uint64_t> m_version; ///< Version of the model's weights at the endpoint; empty for plain services.
    EndpointLoad m_load; ///< Load that the expected time was computed from.
    Core::Duration m_reportAge{0}; ///< Age of the report of that load; negative if no load was ever reported.
};

/// Why no endpoint was chosen.
enum class NoChoiceReason {
    NoEndpoint, ///< The service has no endpoint that accepts work.
    NoAllowedPlace, ///< The service has endpoints, but none in a failure domain that may serve the request now.
    NoWeights, ///< Endpoints exist, but none has the weights.
    AllTried, ///< The request has already failed at every usable endpoint.
    Overloaded, ///< The engines have no free slot for it.
    LimitReached, ///< Every usable endpoint has a limit of which this process may use nothing now, because it states one or is cold.
    BackedOff, ///< Every usable endpoint has asked this process to send nothing now.
};

/// Returns the name of the reason in answers and logs.
std::string_view noChoiceReasonName(NoChoiceReason reason);

/// Returns whether endpoints could serve the request, but accept nothing now.
bool hasOnlyBusyEndpoints(NoChoiceReason reason);

/// Either a choice or the reason why there is none.
struct ChoiceResult
{
    std::optional<Choice> m_choice;
    NoChoiceReason m_reason = NoChoiceReason::NoEndpoint;
};

/**
 * Compares a few usable endpoints, sampled at random, and chooses the one that is expected to begin the answer first; the local failure domain wins a tie.
 *
 * Each process decides alone, on reports that all processes receive. If each took the best endpoint of all, they would all take the same one until the next
 * report; sampling spreads the load. Endpoints that failed recently are chosen only if there is no other.
 */
ChoiceResult chooseEndpoint(const ChoiceRequest &request, const ChoiceView &view, Core::Random &random);

/// Returns the version of the model that the endpoint holds with all @p layers layers, by its newest report; empty if it holds none or is loading another.
std::optional<std::uint64_t>
usableVersion(const Fleet::Endpoint &endpoint, const EndpointRecord &record, const std::string &model, std::uint32_t layers, Core::Instant now);

}
