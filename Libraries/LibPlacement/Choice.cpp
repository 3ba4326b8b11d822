/// @file Implementation of the choice of an endpoint.

#include "LibPlacement/Choice.h"

#include <algorithm>

namespace Placement {

namespace {

/// Number of endpoints that are compared with each other.
constexpr std::size_t SampleSize = 2;
/**
 * Cost of an endpoint in another failure domain, in milliseconds: the round trip and the use of shared links. It is a tenth of the interval at which an
 * engine finishes requests, so that differences in load still decide.
 */
constexpr double RemoteCostMilliseconds = 10;
/// Number of engines with free slots that the local failure domain must have for only local engines to be chosen. With fewer, comparing two samples balances
/// the load badly.
constexpr std::size_t MinimumNearEngines = 8;
/// Minimum ratio of the share of local engines with free slots to the share of all engines with free slots. Below it local engines would be overloaded.
constexpr double MinimumNearShareRatio = 0.75;
/// Time for which an agent's report on its engine is used: four reporting intervals. After that the list of endpoints is the better source.
constexpr Core::Duration ReportLifetime{2000};
/// Assumed answer time of a plain service, which has no engines, until an answer time has been measured.
constexpr double DefaultPlainAnswerMilliseconds = 30;

struct Candidate
{
    const Fleet::Endpoint *m_endpoint = nullptr;
    const EndpointRecord *m_record = nullptr;
    bool m_isMissing = false; ///< Its entry in the list is gone, possibly only because of a log outage.
};

double expectedMilliseconds(const Candidate &candidate, const ChoiceRequest &request, const ChoiceView &view)
{
    if (view.m_engine.m_slots > 0) {
        return firstEventMilliseconds(view.m_engine, candidate.m_record->m_load, request.m_size);
    }
    const double average = candidate.m_record->m_averageMilliseconds > 0 ? candidate.m_record->m_averageMilliseconds : DefaultPlainAnswerMilliseconds;
    return plainAnswerMilliseconds(candidate.m_endpoint->m_slots, candidate.m_record->m_load, average);
}

std::optional<std::uint64_t> versionOf(const Candidate &candidate, const ChoiceRequest &request, const ChoiceView &view)
{
    return usableVersion(*candidate.m_endpoint, *candidate.m_record, request.m_model, view.m_engine.m_layers, view.m_now);
}

bool hasWeights(const Candidate &candidate, const ChoiceRequest &request, const ChoiceView &view)
{
    if (request.m_model.empty()) {
        return true;
    }
    const std::optional<std::uint64_t> version = versionOf(candidate, request, view);
    return version && (!request.m_requiredVersion || *version >= *request.m_requiredVersion);
}

/// Removes the candidates that do not meet the condition; keeps all if none meets it.
template <typename Condition>
void prefer(std::vector<Candidate> &candidates, const Condition &isPreferred)
{
    if (std::any_of(candidates.begin(), candidates.end(), isPreferred)) {
        std::erase_if(candidates, [&isPreferred](const Candidate &candidate) { return !isPreferred(candidate); });
    }
}

/**
 * For a request that has already moved from another endpoint, removes the engines that still have to load a newer version, if there are others. Loading
 * would interrupt its stream again, and since the number of attempts is limited, a second interruption could end the request.
 */
void preferNewest(std::vector<Candidate> &candidates, const ChoiceRequest &request, const ChoiceView &view)
{
    if (request.m_excluded.empty() || !request.m_newestVersion) {
        return;
    }
    prefer(candidates, [&request, &view](const Candidate &candidate) { return versionOf(candidate, request, view) >= request.m_newestVersion; });
}

/// Removes every engine if this process's share of all free slots does not suffice for the request.
void removeAllIfOverloaded(std::vector<Candidate> &candidates, const ChoiceRequest &request, const ChoiceView &view, ChoiceResult &result)
{
    if (!request.m_neededSlots || view.m_engine.m_slots == 0 || candidates.empty()) {
        return;
    }
    const std::optional<double> freeSlots = view.m_slotTracker.totalFreeSlots(view.m_now, request.m_places);
    if (freeSlots && *freeSlots < *request.m_neededSlots) {
        candidates.clear();
        result.m_reason = NoChoiceReason::Overloaded;
    }
}

/// Removes the endpoints to which this process may send nothing now because of a limit that they have stated.
void removeLimited(std::vector<Candidate> &candidates, const ChoiceView &view, ChoiceResult &result)
{
    const bool isAnyUsable = !candidates.empty();
    std::erase_if(candidates, [&view](const Candidate &candidate) {
        const Fleet::Endpoint &endpoint = *candidate.m_endpoint;
        return !view.m_requestLimits.maySend(endpoint, view.m_now) || !view.m_coldBudget.maySend(endpoint, view.m_now);
    });
    if (isAnyUsable && candidates.empty()) {
        result.m_reason = NoChoiceReason::LimitReached;
    }
}

/// Removes the endpoints that have asked this process to send nothing now.
void removeBackedOff(std::vector<Candidate> &candidates, const ChoiceView &view, ChoiceResult &result)
{
    const bool isAnyUsable = !candidates.empty();
    std::erase_if(candidates, [&view](const Candidate &candidate) { return earliestSend(candidate.m_record->m_backoff) > view.m_now; });
    if (isAnyUsable && candidates.empty()) {
        result.m_reason = NoChoiceReason::BackedOff;
    }
}

bool isNear(const Candidate &candidate, const ChoiceView &view)
{
    return candidate.m_endpoint->m_failureDomain == view.m_ownFailureDomain;
}

std::size_t countNear(const std::vector<Candidate> &candidates, const ChoiceView &view)
{
    return static_cast<std::size_t>(
        std::count_if(candidates.begin(), candidates.end(), [&view](const Candidate &candidate) { return isNear(candidate, view); }));
}

/// Returns whether enough engines of the local failure domain have free slots. @p withSlot: the candidates in @p candidates that have free slots.
bool isNearEnough(const std::vector<Candidate> &withSlot, const std::vector<Candidate> &candidates, const ChoiceView &view)
{
    const std::size_t near = countNear(withSlot, view);
    if (near < MinimumNearEngines) {
        return false;
    }
    const double nearShare = static_cast<double>(near) / static_cast<double>(countNear(candidates, view));
    const double share = static_cast<double>(withSlot.size()) / static_cast<double>(candidates.size());
    return nearShare >= MinimumNearShareRatio * share;
}

/**
 * Keeps the engines at which this process's share of slots is not used up, if there are any. If enough of them are in the local failure domain, keeps only
 * those: links between regions have little bandwidth, and reports from local engines are the newest.
 */
void preferFreeSlots(std::vector<Candidate> &candidates, const ChoiceView &view)
{
    if (view.m_engine.m_slots == 0) {
        return;
    }
    std::vector<Candidate> withSlot = candidates;
    std::erase_if(withSlot, [&view](const Candidate &candidate) { return view.m_slotTracker.freeSlots(candidate.m_endpoint->m_id, view.m_now) <= 0; });
    if (withSlot.empty()) {
        return;
    }
    if (isNearEnough(withSlot, candidates, view)) {
        std::erase_if(withSlot, [&view](const Candidate &candidate) { return !isNear(candidate, view); });
    }
    candidates = std::move(withSlot);
}

/**
 * Removes endpoints whose entries are gone, if there are others. If only this process was cut off from the log, such an endpoint may be leaving without
 * notice, and requests would reach it after it should receive none. If the log itself was down, all entries expire together, and all endpoints are used.
 */
void preferListed(std::vector<Candidate> &candidates)
{
    prefer(candidates, [](const Candidate &candidate) { return !candidate.m_isMissing; });
}

/// Removes the engines that should rather read prompts of the other kind, if enough others with free slots are left to compare.
void preferByPrompt(std::vector<Candidate> &candidates, const ChoiceRequest &request)
{
    const std::function<bool(const Candidate &)> isOther = [&request](const Candidate &candidate) {
        return !isPreferred(candidate.m_endpoint->m_id, request.m_prompt);
    };
    const std::size_t others = static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), isOther));
    if (candidates.size() - others >= SampleSize) {
        std::erase_if(candidates, isOther);
    }
}

/// Reduces the candidates to a random sample.
void takeSample(std::vector<Candidate> &candidates, Core::Random &random)
{
    const std::size_t size = std::min(candidates.size(), SampleSize);
    for (std::size_t index = 0; index < size; ++index) {
        std::swap(candidates[index], candidates[index + random.below(candidates.size() - index)]);
    }
    candidates.resize(size);
}

}

bool hasOnlyBusyEndpoints(NoChoiceReason reason)
{
    return reason == NoChoiceReason::Overloaded || reason == NoChoiceReason::LimitReached || reason == NoChoiceReason::BackedOff;
}

std::string_view noChoiceReasonName(NoChoiceReason reason)
{
    switch (reason) {
    case NoChoiceReason::NoEndpoint:
        return "no_endpoint";
    case NoChoiceReason::NoAllowedPlace:
        return "no_allowed_place";
    case NoChoiceReason::NoWeights:
        return "no_weights";
    case NoChoiceReason::AllTried:
        return "all_tried";
    case NoChoiceReason::Overloaded:
        return "overloaded";
    case NoChoiceReason::LimitReached:
        return "limit_reached";
    case NoChoiceReason::BackedOff:
        return "backed_off";
    }
    return "unknown";
}

std::optional<std::uint64_t>
usableVersion(const Fleet::Endpoint &endpoint, const EndpointRecord &record, const std::string &model, std::uint32_t layers, Core::Instant now)
{
    const bool isReported = record.m_engineReport && now - record.m_engineReportedAt < ReportLifetime;
    if (isReported && record.m_engineReport->m_isLoading) {
        return std::nullopt;
    }
    for (const Fleet::LoadedWeights &loaded : isReported ? record.m_engineReport->m_weights : endpoint.m_weights) {
        if (loaded.m_model == model && Fleet::holdsEveryLayer(loaded, layers)) {
            return loaded.m_version;
        }
    }
    return std::nullopt;
}

ChoiceResult chooseEndpoint(const ChoiceRequest &request, const ChoiceView &view, Core::Random &random)
{
    ChoiceResult result;
    std::vector<Candidate> candidates;
    for (const std::pair<const std::string, Fleet::KnownEndpoint> &entry : view.m_endpoints) {
        const Fleet::Endpoint &endpoint = entry.second.m_endpoint;
        if (endpoint.m_service != request.m_service || endpoint.m_isLeaving) {
            continue;
        }
        result.m_reason = std::max(result.m_reason, NoChoiceReason::NoAllowedPlace);
        if (!request.m_places.allows(endpoint.m_failureDomain) || view.m_evacuatedDomains.contains(endpoint.m_failureDomain)) {
            continue;
        }
        result.m_reason = std::max(result.m_reason, NoChoiceReason::NoWeights);
        const Candidate candidate{&endpoint, &view.m_endpointTracker.get(endpoint), entry.second.m_missingSince.has_value()};
        if (!hasWeights(candidate, request, view)) {
            continue;
        }
        result.m_reason = NoChoiceReason::AllTried;
        if (!request.m_excluded.contains(endpoint.m_id)) {
            candidates.push_back(candidate);
        }
    }
    removeLimited(candidates, view, result);
    removeBackedOff(candidates, view, result);
    preferListed(candidates);
    preferNewest(candidates, request, view);
    const bool isAnyAvailable =
        std::any_of(candidates.begin(), candidates.end(), [&view](const Candidate &candidate) { return candidate.m_record->m_avoidUntil <= view.m_now; });
    if (isAnyAvailable || request.m_canWait) {
        std::erase_if(candidates, [&view](const Candidate &candidate) { return candidate.m_record->m_avoidUntil > view.m_now; });
    }
    removeAllIfOverloaded(candidates, request, view, result);
    preferFreeSlots(candidates, view);
    preferByPrompt(candidates, request);
    takeSample(candidates, random);
    double best = 0;
    for (const Candidate &candidate : candidates) {
        const double expected = expectedMilliseconds(candidate, request, view);
        const double cost = expected + (candidate.m_endpoint->m_failureDomain == view.m_ownFailureDomain ? 0 : RemoteCostMilliseconds);
        if (result.m_choice && cost >= best) {
            continue;
        }
        best = cost;
        const std::optional<Core::Instant> reportedAt = candidate.m_record->m_reportedAt;
        const Core::Duration age = reportedAt ? std::chrono::duration_cast<Core::Duration>(view.m_now - *reportedAt) : Core::Duration(-1);
        const std::optional<std::uint64_t> version = request.m_model.empty() ? std::nullopt : versionOf(candidate, request, view);
        result.m_choice = Choice{*candidate.m_endpoint, expected, version, candidate.m_record->m_load, age};
    }
    return result;
}

}
