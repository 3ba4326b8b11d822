/// @file Implementation of the fleet state.

#include "LibFleet/FleetState.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Fleet {

FleetStateUpdate FleetState::apply(const Declarations &declarations)
{
    FleetStateUpdate update;
    const bool isNewer = !m_configurationIndex || declarations.m_configurationOffset > m_declarations.m_configurationOffset;
    if (declarations.m_configuration && isNewer) {
        m_declarations.m_configuration = declarations.m_configuration;
        m_declarations.m_configurationOffset = declarations.m_configurationOffset;
        m_configurationIndex = std::make_shared<const ConfigurationIndex>(*declarations.m_configuration);
        update.m_configuration = true;
    }
    for (const DeclaredWeights &declared : declarations.m_weights) {
        const std::vector<DeclaredWeights>::iterator known =
            std::find_if(m_declarations.m_weights.begin(), m_declarations.m_weights.end(), [&declared](const DeclaredWeights &candidate) {
                return candidate.m_model == declared.m_model;
            });
        if (known == m_declarations.m_weights.end()) {
            m_declarations.m_weights.push_back(declared);
            update.m_weights = true;
        } else if (declared.m_version > known->m_version) {
            *known = declared;
            update.m_weights = true;
        }
    }
    update.m_evacuations = applyEvacuations(declarations);
    m_declarations.m_end = std::max(m_declarations.m_end, declarations.m_end);
    return update;
}

bool FleetState::applyEvacuations(const Declarations &declarations)
{
    std::vector<Evacuation> &known = m_declarations.m_evacuations;
    for (const Evacuation &evacuation : declarations.m_evacuations) {
        const std::vector<Evacuation>::iterator same = std::find_if(
            known.begin(), known.end(), [&evacuation](const Evacuation &candidate) { return candidate.m_failureDomain == evacuation.m_failureDomain; });
        if (same == known.end()) {
            known.push_back(evacuation);
        } else if (evacuation.m_offset > same->m_offset) {
            *same = evacuation;
        }
    }
    for (Evacuation &evacuation : known) {
        const bool isNamed = std::any_of(declarations.m_evacuations.begin(), declarations.m_evacuations.end(), [&evacuation](const Evacuation &named) {
            return named.m_failureDomain == evacuation.m_failureDomain;
        });
        if (declarations.m_isSnapshot && !isNamed && evacuation.m_offset < declarations.m_end) {
            evacuation = Evacuation{evacuation.m_failureDomain, declarations.m_end - 1, false};
        }
    }
    std::set<std::string> evacuated;
    for (const Evacuation &evacuation : known) {
        if (evacuation.m_isInForce) {
            evacuated.insert(evacuation.m_failureDomain);
        }
    }
    return std::exchange(m_evacuatedDomains, evacuated) != evacuated;
}

void FleetState::confirmDeclarations(Core::Instant asOf)
{
    m_declarationsConfirmedAsOf = std::max(m_declarationsConfirmedAsOf.value_or(asOf), asOf);
}

namespace {

constexpr std::size_t MaximumSaidLeaving = 4096; ///< Several times the endpoints of a large fleet. Beyond it, those that are not listed are forgotten.
constexpr std::uint64_t MaximumColdMilliseconds = 3'600'000; ///< A longer time is shortened to this. An endpoint states its time again with each heartbeat.
constexpr std::size_t MaximumDoubtful = 4096; ///< As above. Beyond it all are forgotten, which delays the recognition of restarts by one record.

/**
 * Returns whether the endpoints are two incarnations of an engine that has another id after each start: they have the same service and the same address.
 *
 * The entry of a killed engine expires only after three heartbeats, while its successor at the same address has already registered. The successor refuses
 * requests for the old id, so until then many requests of callers would be refused.
 */
bool areSuccessive(const Endpoint &one, const Endpoint &other)
{
    const bool haveStartTimes = one.m_startedMilliseconds > 0 && other.m_startedMilliseconds > 0;
    return one.m_id != other.m_id && one.m_address == other.m_address && one.m_service == other.m_service && haveStartTimes
        && one.m_startedMilliseconds != other.m_startedMilliseconds;
}

/// Returns whether, by the start times, an endpoint is of an incarnation before the known one.
bool seemsEarlier(const Endpoint &endpoint, const KnownEndpoint &known)
{
    return endpoint.m_startedMilliseconds < known.m_endpoint.m_startedMilliseconds || known.m_endedMilliseconds == endpoint.m_startedMilliseconds;
}

/// Returns when the endpoint becomes warm by the change alone; empty if it is not cold or does not say so.
std::optional<Core::Instant> statedColdEnd(const EndpointChange &change, Core::Instant now)
{
    if (!change.m_endpoint->m_isCold || !change.m_coldMilliseconds) {
        return std::nullopt;
    }
    return now + Core::Duration(static_cast<std::int64_t>(std::min(*change.m_coldMilliseconds, MaximumColdMilliseconds)));
}

/// Returns when the endpoint becomes warm by the change and by what was known of the same incarnation.
std::optional<Core::Instant> coldEndAfter(const KnownEndpoint &known, const EndpointChange &change, Core::Instant now)
{
    const std::optional<Core::Instant> stated = statedColdEnd(change, now);
    const std::optional<Core::Instant> &before = known.m_coldUntil;
    if (!change.m_endpoint->m_isCold || !before) {
        return stated;
    }
    return stated && *stated > *before + ColdEndTolerance ? stated : before;
}

}

bool FleetState::hasSaidLeaving(const Endpoint &endpoint) const
{
    const std::map<std::string, std::uint64_t>::const_iterator said = m_saidLeaving.find(endpoint.m_id);
    return said != m_saidLeaving.end() && said->second == endpoint.m_startedMilliseconds;
}

bool FleetState::recordLeaving(const std::string &id, std::uint64_t startedMilliseconds)
{
    const std::map<std::string, KnownEndpoint>::iterator known = m_endpoints.find(id);
    const bool isCurrent = known != m_endpoints.end() && known->second.m_endpoint.m_startedMilliseconds == startedMilliseconds;
    if (!isCurrent || known->second.m_endpoint.m_isLeaving) {
        return false;
    }
    known->second.m_endpoint.m_isLeaving = true;
    if (m_saidLeaving.size() >= MaximumSaidLeaving) {
        std::erase_if(m_saidLeaving, [this](const std::pair<const std::string, std::uint64_t> &said) { return !m_endpoints.contains(said.first); });
    }
    m_saidLeaving[id] = startedMilliseconds;
    return true;
}

const KnownEndpoint *FleetState::findContradicted(const Endpoint &endpoint) const
{
    const std::map<std::string, KnownEndpoint>::const_iterator same = m_endpoints.find(endpoint.m_id);
    const std::map<std::string, KnownEndpoint>::const_iterator known = same != m_endpoints.end()
        ? same
        : std::find_if(m_endpoints.begin(), m_endpoints.end(), [&endpoint](const std::pair<const std::string, KnownEndpoint> &entry) {
              return areSuccessive(endpoint, entry.second.m_endpoint) && seemsEarlier(endpoint, entry.second);
          });
    return known != m_endpoints.end() && seemsEarlier(endpoint, known->second) ? &known->second : nullptr;
}

bool FleetState::isDoubtful(const EndpointChange &change)
{
    const KnownEndpoint *contradicted = findContradicted(*change.m_endpoint);
    const std::map<std::string, DoubtfulRecord>::const_iterator before = m_doubtful.find(change.m_id);
    const bool isSecond = contradicted && before != m_doubtful.end() && before->second.m_startedMilliseconds == change.m_endpoint->m_startedMilliseconds
        && before->second.m_offset < change.m_offset && before->second.m_offset > contradicted->m_offset;
    if (!contradicted || isSecond) {
        m_doubtful.erase(change.m_id);
        return false;
    }
    if (m_doubtful.size() >= MaximumDoubtful) {
        m_doubtful.clear();
    }
    m_doubtful[change.m_id] = DoubtfulRecord{change.m_endpoint->m_startedMilliseconds, change.m_offset};
    return true;
}

std::optional<std::uint64_t> FleetState::removeReplacedBy(const Endpoint &endpoint)
{
    std::optional<std::uint64_t> latest;
    std::erase_if(m_endpoints, [&endpoint, &latest](const std::pair<const std::string, KnownEndpoint> &entry) {
        const Endpoint &other = entry.second.m_endpoint;
        const bool isReplaced = areSuccessive(other, endpoint);
        if (isReplaced && other.m_startedMilliseconds > endpoint.m_startedMilliseconds) {
            latest = std::max(latest.value_or(0), other.m_startedMilliseconds);
        }
        return isReplaced;
    });
    return latest;
}

bool FleetState::applyRemoval(const EndpointChange &change, std::optional<Core::Instant> recoveredAt)
{
    const std::map<std::string, KnownEndpoint>::iterator known = m_endpoints.find(change.m_id);
    if (known == m_endpoints.end()) {
        return false;
    }
    if (!recoveredAt) {
        m_endpoints.erase(known);
        return true;
    }
    known->second.m_offset = change.m_offset;
    const bool isNew = !known->second.m_missingSince;
    known->second.m_missingSince = isNew ? *recoveredAt : *known->second.m_missingSince;
    return isNew;
}

bool FleetState::addEndpoint(const EndpointChange &change, Core::Instant now)
{
    const std::optional<std::uint64_t> ended = removeReplacedBy(*change.m_endpoint);
    Endpoint added = *change.m_endpoint;
    added.m_isLeaving = added.m_isLeaving || hasSaidLeaving(added);
    m_endpoints[change.m_id] = KnownEndpoint{std::move(added), change.m_offset, std::nullopt, ended, statedColdEnd(change, now)};
    return true;
}

bool FleetState::updateEndpoint(KnownEndpoint &known, const EndpointChange &change, Core::Instant now)
{
    Endpoint next = *change.m_endpoint;
    const Endpoint &before = known.m_endpoint;
    const bool isSameIncarnation = before.m_startedMilliseconds == next.m_startedMilliseconds;
    // A late heartbeat that was sent before the endpoint began to leave must not make it available again.
    next.m_isLeaving = next.m_isLeaving || (isSameIncarnation && before.m_isLeaving);
    const std::optional<Core::Instant> coldUntil = isSameIncarnation ? coldEndAfter(known, change, now) : statedColdEnd(change, now);
    const bool isChanged = next != before || known.m_missingSince || coldUntil != known.m_coldUntil;
    std::optional<std::uint64_t> ended = isSameIncarnation ? known.m_endedMilliseconds : std::nullopt;
    if (next.m_startedMilliseconds < before.m_startedMilliseconds) {
        ended = before.m_startedMilliseconds;
    }
    known = KnownEndpoint{std::move(next), change.m_offset, std::nullopt, ended, coldUntil};
    return isChanged;
}

bool FleetState::applyChange(const EndpointChange &change, bool isFromPeer, std::optional<Core::Instant> recoveredAt, Core::Instant now)
{
    const std::map<std::string, KnownEndpoint>::iterator known = m_endpoints.find(change.m_id);
    if (known != m_endpoints.end() && change.m_offset <= known->second.m_offset) {
        return false;
    }
    if (!change.m_endpoint) {
        return applyRemoval(change, recoveredAt);
    }
    if (!isFromPeer && isDoubtful(change)) {
        return false;
    }
    return known == m_endpoints.end() ? addEndpoint(change, now) : updateEndpoint(known->second, change, now);
}

bool FleetState::removeUnlisted(const EndpointChanges &changes, std::optional<Core::Instant> recoveredAt)
{
    std::set<std::string> listedIds;
    for (const EndpointChange &change : changes.m_changes) {
        listedIds.insert(change.m_id);
    }
    bool isChanged = false;
    for (std::map<std::string, KnownEndpoint>::iterator it = m_endpoints.begin(); it != m_endpoints.end();) {
        const bool isNewer = it->second.m_offset >= changes.m_end;
        if (isNewer || listedIds.contains(it->first)) {
            ++it;
            continue;
        }
        if (recoveredAt) {
            if (!it->second.m_missingSince) {
                it->second.m_missingSince = recoveredAt;
                isChanged = true;
            }
            ++it;
            continue;
        }
        it = m_endpoints.erase(it);
        isChanged = true;
    }
    return isChanged;
}

bool FleetState::markMissing(const EndpointChange &change, Core::Instant since)
{
    const std::map<std::string, KnownEndpoint>::iterator known = m_endpoints.find(change.m_id);
    if (!change.m_isMissing || known == m_endpoints.end() || known->second.m_offset > change.m_offset || known->second.m_missingSince) {
        return false;
    }
    known->second.m_missingSince = since;
    return true;
}

FleetStateUpdate FleetState::apply(const EndpointChanges &changes, std::optional<Core::Instant> recoveredAt, Core::Instant now)
{
    FleetStateUpdate update;
    const bool isFromPeer = changes.m_revisionOffset > 0;
    if (changes.m_isSnapshot && changes.m_end >= m_endpointsEnd && removeUnlisted(changes, recoveredAt)) {
        update.m_endpoints = true;
        m_endpointsRevisionOffset = std::max(m_endpointsRevisionOffset, changes.m_revisionOffset > 0 ? changes.m_revisionOffset : changes.m_end);
    }
    for (const EndpointChange &change : changes.m_changes) {
        // Records before the end have already been applied, so an old record of an unknown endpoint is about one that was removed.
        const bool isOld = change.m_offset < m_endpointsEnd && !m_endpoints.contains(change.m_id);
        if (isOld) {
            continue;
        }
        const bool isChanged = applyChange(change, isFromPeer, recoveredAt, now);
        if (markMissing(change, recoveredAt.value_or(now)) || isChanged) {
            update.m_endpoints = true;
            m_endpointsRevisionOffset = std::max(m_endpointsRevisionOffset, changes.m_revisionOffset > 0 ? changes.m_revisionOffset : change.m_offset + 1);
        }
    }
    m_endpointsRevisionOffset = std::max(m_endpointsRevisionOffset, changes.m_revisionOffset);
    m_endpointsEnd = std::max(m_endpointsEnd, changes.m_end);
    return update;
}

FleetStateUpdate FleetState::removeMissing(Core::Duration grace, Core::Instant now)
{
    FleetStateUpdate update;
    for (std::map<std::string, KnownEndpoint>::iterator it = m_endpoints.begin(); it != m_endpoints.end();) {
        if (it->second.m_missingSince && now - *it->second.m_missingSince > grace) {
            it = m_endpoints.erase(it);
            update.m_endpoints = true;
        } else {
            ++it;
        }
    }
    return update;
}

EndpointChanges FleetState::endpointSnapshot(Core::Instant now) const
{
    EndpointChanges snapshot;
    snapshot.m_end = m_endpointsEnd;
    snapshot.m_isSnapshot = true;
    snapshot.m_revisionOffset = m_endpointsRevisionOffset;
    for (const std::pair<const std::string, KnownEndpoint> &entry : m_endpoints) {
        const KnownEndpoint &known = entry.second;
        EndpointChange change{entry.first, known.m_offset, known.m_endpoint, known.m_missingSince.has_value()};
        if (known.m_coldUntil) {
            const Core::Duration left = std::chrono::ceil<Core::Duration>(std::max(*known.m_coldUntil, now) - now);
            change.m_coldMilliseconds = static_cast<std::uint64_t>(left.count());
        }
        snapshot.m_changes.push_back(std::move(change));
    }
    return snapshot;
}

const DeclaredWeights *FleetState::declaredWeights(const std::string &model) const
{
    for (const DeclaredWeights &declared : m_declarations.m_weights) {
        if (declared.m_model == model) {
            return &declared;
        }
    }
    return nullptr;
}

}
