/// @file Implementation of the choice of an endpoint.

#include "LibPlacement/Choice.h"

#include <algorithm>

namespace Placement {

namespace {

/// Endpoints that are compared.
constexpr std::size_t SampleSize = 2;
/**
 * Cost of an endpoint in another failure domain: the round trip, and bytes over links that are shared. A tenth of an engine's interval between two
 * requests, so that load still decides where it differs.
 */
constexpr double FarMilliseconds = 10;
/// Engines of the own failure domain with places from which on they are chosen from alone. Among few, two choices even the load out badly.
constexpr std::size_t EnoughNear = 8;
/// Share of the engines nearby that must have places, in parts of the share of all engines that have. Where they are scarcer, they would be crowded.
constexpr double EnoughNearShare = 0.75;
/// A report by the process beside an engine is used for so long: four reporting intervals, after which the list is the better source.
constexpr Core::Duration ReportLifetime{2000};
/// Usual time of a plain service before one was measured.
constexpr double DefaultPlainMilliseconds = 30;

struct Usable
{
    const Fleet::Endpoint *m_endpoint = nullptr;
    const EndpointRecord *m_record = nullptr;
    bool m_isMissing = false; ///< Its entry in the list is gone, for an unclear reason.
};

double expectedMilliseconds(const Usable &candidate, const ChoiceRequest &request, const ChoiceView &view)
{
    if (view.m_engine.m_slots > 0) {
        return firstEventMilliseconds(view.m_engine, candidate.m_record->m_load, request.m_size);
    }
    const double usual = candidate.m_record->m_averageMilliseconds > 0 ? candidate.m_record->m_averageMilliseconds : DefaultPlainMilliseconds;
    return plainAnswerMilliseconds(candidate.m_endpoint->m_slots, candidate.m_record->m_load, usual);
}

std::optional<std::uint64_t> versionOf(const Usable &candidate, const ChoiceRequest &request, const ChoiceView &view)
{
    return usableVersion(*candidate.m_endpoint, *candidate.m_record, request.m_model, view.m_engine.m_layers, view.m_now);
}

bool hasWeights(const Usable &candidate, const ChoiceRequest &request, const ChoiceView &view)
{
    if (request.m_model.empty()) {
        return true;
    }
    const std::optional<std::uint64_t> version = versionOf(candidate, request, view);
    return version && (!request.m_requiredVersion || *version >= *request.m_requiredVersion);
}

/// Drops what does not meet the condition, unless nothing does.
template <typename Condition>
void prefer(std::vector<Usable> &usable, const Condition &isPreferred)
{
    if (std::any_of(usable.begin(), usable.end(), isPreferred)) {
        std::erase_if(usable, [&isPreferred](const Usable &candidate) { return !isPreferred(candidate); });
    }
}

/**
 * For a request that has moved already, drops the engines that will have to load a newer version, if there are others. Its stream would be cut again
 * there, and a request may be sent to few endpoints: the second cut could end it.
 */
void preferNewest(std::vector<Usable> &usable, const ChoiceRequest &request, const ChoiceView &view)
{
    if (request.m_excluded.empty() || !request.m_newestVersion) {
        return;
    }
    prefer(usable, [&request, &view](const Usable &candidate) { return versionOf(candidate, request, view) >= request.m_newestVersion; });
}

/// Drops every engine if this process's part of all places does not suffice for the request.
void dropIfOverloaded(std::vector<Usable> &usable, const ChoiceRequest &request, const ChoiceView &view, ChoiceResult &result)
{
    if (!request.m_neededSlots || view.m_engine.m_slots == 0 || usable.empty()) {
        return;
    }
    const std::optional<double> places = view.m_slotTracker.totalFreeSlots(view.m_now);
    if (places && *places < *request.m_neededSlots) {
        usable.clear();
        result.m_reason = NoChoiceReason::Overloaded;
    }
}

bool isNear(const Usable &candidate, const ChoiceView &view)
{
    return candidate.m_endpoint->m_failureDomain == view.m_ownFailureDomain;
}

std::size_t countNear(const std::vector<Usable> &usable, const ChoiceView &view)
{
    return static_cast<std::size_t>(std::count_if(usable.begin(), usable.end(), [&view](const Usable &candidate) { return isNear(candidate, view); }));
}

/// Whether the engines nearby that have places suffice. @p withPlace: those of @p usable that have places.
bool isNearEnough(const std::vector<Usable> &withPlace, const std::vector<Usable> &usable, const ChoiceView &view)
{
    const std::size_t near = countNear(withPlace, view);
    if (near < EnoughNear) {
        return false;
    }
    const double nearShare = static_cast<double>(near) / static_cast<double>(countNear(usable, view));
    const double share = static_cast<double>(withPlace.size()) / static_cast<double>(usable.size());
    return nearShare >= EnoughNearShare * share;
}

/**
 * Keeps the engines at which this process's part is not used up, if there are any, and of them those of its own failure domain, if they are enough: links
 * between regions are thin, and the reports of engines nearby are the newest.
 */
void preferOwnPlaces(std::vector<Usable> &usable, const ChoiceView &view)
{
    if (view.m_engine.m_slots == 0) {
        return;
    }
    std::vector<Usable> withPlace = usable;
    std::erase_if(withPlace, [&view](const Usable &candidate) { return view.m_slotTracker.freeSlots(candidate.m_endpoint->m_id, view.m_now) <= 0; });
    if (withPlace.empty()) {
        return;
    }
    if (isNearEnough(withPlace, usable, view)) {
        std::erase_if(withPlace, [&view](const Usable &candidate) { return !isNear(candidate, view); });
    }
    usable = std::move(withPlace);
}

/**
 * Drops endpoints whose entries are gone, if there are others. When this process was cut off, such an endpoint may be leaving without a notice, and
 * requests would reach it after it should get none; when the log itself was away, all entries lapse, and all are used.
 */
void preferListed(std::vector<Usable> &usable)
{
    prefer(usable, [](const Usable &candidate) { return !candidate.m_isMissing; });
}

/// Moves a random sample to the front and cuts the rest off.
void takeSample(std::vector<Usable> &usable, Core::Random &random)
{
    const std::size_t size = std::min(usable.size(), SampleSize);
    for (std::size_t index = 0; index < size; ++index) {
        std::swap(usable[index], usable[index + random.below(usable.size() - index)]);
    }
    usable.resize(size);
}

}

std::string_view noChoiceReasonName(NoChoiceReason reason)
{
    switch (reason) {
    case NoChoiceReason::NoEndpoint:
        return "no_endpoint";
    case NoChoiceReason::NoWeights:
        return "no_weights";
    case NoChoiceReason::AllTried:
        return "all_tried";
    case NoChoiceReason::Overloaded:
        return "overloaded";
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
    std::vector<Usable> usable;
    for (const std::pair<const std::string, Fleet::KnownEndpoint> &entry : view.m_endpoints) {
        const Fleet::Endpoint &endpoint = entry.second.m_endpoint;
        if (endpoint.m_service != request.m_service || endpoint.m_isLeaving) {
            continue;
        }
        result.m_reason = std::max(result.m_reason, NoChoiceReason::NoWeights);
        const Usable candidate{&endpoint, &view.m_endpointTracker.get(endpoint), entry.second.m_missingSince.has_value()};
        if (!hasWeights(candidate, request, view)) {
            continue;
        }
        result.m_reason = NoChoiceReason::AllTried;
        if (!request.m_excluded.contains(endpoint.m_id)) {
            usable.push_back(candidate);
        }
    }
    preferListed(usable);
    preferNewest(usable, request, view);
    const bool isAnySound =
        std::any_of(usable.begin(), usable.end(), [&view](const Usable &candidate) { return candidate.m_record->m_avoidUntil <= view.m_now; });
    if (isAnySound || request.m_canWait) {
        std::erase_if(usable, [&view](const Usable &candidate) { return candidate.m_record->m_avoidUntil > view.m_now; });
    }
    dropIfOverloaded(usable, request, view, result);
    preferOwnPlaces(usable, view);
    takeSample(usable, random);
    double best = 0;
    for (const Usable &candidate : usable) {
        const double expected = expectedMilliseconds(candidate, request, view);
        const double cost = expected + (candidate.m_endpoint->m_failureDomain == view.m_ownFailureDomain ? 0 : FarMilliseconds);
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
