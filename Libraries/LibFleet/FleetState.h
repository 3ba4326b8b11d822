/// @file The state of the fleet as known to one process. A record is applied only if it is newer than the known one.
#pragma once

#include "LibCore/Clock.h"
#include "LibFleet/Configuration.h"
#include "LibFleet/Endpoint.h"

#include <cstdint>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fleet {

/// Position in the log of declarations or of endpoints. Strictly increases with each record.
using Offset = std::uint64_t;

/// A version of a model's weights that operators have declared for every engine.
struct DeclaredWeights
{
    std::string m_model;
    std::uint64_t m_version = 0;
    Offset m_offset = 0; ///< Offset of its record, which serves as the fencing token of orders.

    bool operator==(const DeclaredWeights &) const = default;

    MSGPACK_DEFINE_ARRAY(m_model, m_version, m_offset);
};

/// An operator's request that the endpoints of a failure domain get no new requests, or its withdrawal.
struct Evacuation
{
    std::string m_failureDomain;
    Offset m_offset = 0; ///< Offset of its record.
    bool m_isInForce = false; ///< False once the request was withdrawn. The withdrawal is kept, so that no older record revives the request.

    bool operator==(const Evacuation &) const = default;

    MSGPACK_DEFINE_ARRAY(m_failureDomain, m_offset, m_isInForce);
};

/// The operators' declarations up to an offset.
struct Declarations
{
    Offset m_end = 0; ///< All records before this offset have been applied; 0 if nothing was ever read.
    std::optional<Configuration> m_configuration;
    Offset m_configurationOffset = 0;
    std::vector<DeclaredWeights> m_weights; ///< One element for each model.
    std::vector<Evacuation> m_evacuations; ///< One element for each failure domain for which one was ever requested.
    std::uint32_t m_unreadableRecords = 0; ///< Records that could not be read and declare nothing; not sent to peers.
    bool m_isSnapshot = false; ///< Holds the newest record of every key: evacuations that are not named have been withdrawn. Not sent to peers.

    bool operator==(const Declarations &) const = default;

    /// Returns the offset after the configuration's record, or 0 if there is none. It increases with each newer configuration. The record's own offset
    /// cannot be used, because the first record of a log has offset 0.
    std::uint64_t configurationRevisionOffset() const
    {
        return m_configuration ? m_configurationOffset + 1 : 0;
    }

    MSGPACK_DEFINE_ARRAY(m_end, m_configuration, m_configurationOffset, m_weights, m_evacuations);
};

/// One record of the list of endpoints.
struct EndpointChange
{
    std::string m_id;
    Offset m_offset = 0;
    std::optional<Endpoint> m_endpoint; ///< Empty if the entry was removed.
    bool m_isMissing = false; ///< From a peer: the endpoint is known, but its entry is gone, possibly only because of a log outage.
    /// Time for which a cold endpoint stays cold, from now on. Empty if it is unknown, as from a peer that does not pass it on.
    std::optional<std::uint64_t> m_coldMilliseconds;

    bool operator==(const EndpointChange &) const = default;

    MSGPACK_DEFINE_ARRAY(m_id, m_offset, m_endpoint, m_isMissing, m_coldMilliseconds);
};

/// Records of the list of endpoints, in order.
struct EndpointChanges
{
    Offset m_end = 0; ///< Offset at which the next read begins.
    bool m_isSnapshot = false; ///< The changes hold the newest record of every endpoint. Endpoints that are not named have been removed.
    std::vector<EndpointChange> m_changes;
    Offset m_revisionOffset = 0; ///< From a peer: see FleetState::endpointsRevisionOffset().
    /// From a peer: the time since the peer could read the list again after an outage. Empty once no entry of a live endpoint can be missing because of the
    /// outage.
    std::optional<std::uint64_t> m_millisecondsSinceRecovery;

    bool operator==(const EndpointChanges &) const = default;

    MSGPACK_DEFINE_ARRAY(m_end, m_isSnapshot, m_changes, m_revisionOffset, m_millisecondsSinceRecovery);
};

/// The parts of the fleet state that an update has changed.
struct FleetStateUpdate
{
    bool m_configuration = false;
    bool m_weights = false;
    bool m_endpoints = false;
    bool m_evacuations = false;

    bool any() const
    {
        return m_configuration || m_weights || m_endpoints || m_evacuations;
    }
};

/// An endpoint together with the state of its entry in the list.
struct KnownEndpoint
{
    Endpoint m_endpoint;
    Offset m_offset = 0; ///< Offset of the newest record about it.
    /// Set if its entry is gone, possibly only because of an outage of the list: the time from which on the grace period for its return counts.
    std::optional<Core::Instant> m_missingSince;
    /// Start time of the incarnation before, under this id or at this address, if it is later than that of m_endpoint. Late records of it are doubtful.
    std::optional<std::uint64_t> m_endedMilliseconds;
    /// When a cold endpoint becomes warm, by what this incarnation has stated; at most ColdEndTolerance before the end by any of its statements. Empty if the
    /// end is unknown, and for an endpoint that is not cold.
    std::optional<Core::Instant> m_coldUntil;
};

/**
 * A statement that moves the end of an endpoint's cold time by less than this is no change of the list: entries are read late by different times, and while the
 * time only runs down, no process has news for others. Longer than the interval between reads of the list.
 */
inline constexpr Core::Duration ColdEndTolerance{1000};

/**
 * The state of the fleet as known to one process. Used by one thread.
 *
 * Every record carries an offset, and an older record never replaces a newer one, whether it was read from the log or received from a peer. Without this
 * rule an instance that was partitioned could return its peers to a configuration that the operators have replaced, and revoked keys would work again.
 */
class FleetState
{
public:
    /// Applies declarations that were read from the log or received from a peer.
    FleetStateUpdate apply(const Declarations &declarations);

    /**
     * Applies records of the list of endpoints. @p recoveredAt: when the list became reachable again after an outage, if entries of live endpoints may still be
     * missing because of it. The grace period for their return counts from then.
     */
    FleetStateUpdate apply(const EndpointChanges &changes, std::optional<Core::Instant> recoveredAt, Core::Instant now);

    /**
     * Records that an incarnation of an endpoint has said itself that it is leaving, which its entry may say later or never. It stays so even if its entry is
     * gone for a time. Returns whether this was not known.
     */
    bool recordLeaving(const std::string &id, std::uint64_t startedMilliseconds);

    /// Records that all declarations that were accepted before @p asOf have been applied, according to the log or a peer that is no further than this process.
    void confirmDeclarations(Core::Instant asOf);
    /// Returns the time as of which the declarations are known to be complete; empty if that was never confirmed.
    const std::optional<Core::Instant> &declarationsConfirmedAsOf() const
    {
        return m_declarationsConfirmedAsOf;
    }

    /// Removes endpoints whose entries have been missing for longer than @p grace.
    FleetStateUpdate removeMissing(Core::Duration grace, Core::Instant now);

    const Declarations &declarations() const
    {
        return m_declarations;
    }
    /// Null until a configuration is known.
    const std::shared_ptr<const ConfigurationIndex> &configuration() const
    {
        return m_configurationIndex;
    }
    const std::map<std::string, KnownEndpoint> &endpoints() const
    {
        return m_endpoints;
    }
    /// Returns the offset at which the next read of the list of endpoints begins.
    Offset endpointsEnd() const
    {
        return m_endpointsEnd;
    }
    /**
     * Returns the offset after the newest record that changed more than the time of an endpoint's last heartbeat. Two processes with the same value know the
     * same endpoints, although heartbeats add many records per second to the list.
     */
    Offset endpointsRevisionOffset() const
    {
        return m_endpointsRevisionOffset;
    }
    /// Returns all endpoints as changes that a peer can apply.
    EndpointChanges endpointSnapshot(Core::Instant now) const;
    /// Returns the declared version of the model; null if there is none.
    const DeclaredWeights *declaredWeights(const std::string &model) const;
    /// Returns the failure domains whose endpoints get no new requests.
    const std::set<std::string> &evacuatedDomains() const
    {
        return m_evacuatedDomains;
    }

private:
    struct DoubtfulRecord
    {
        std::uint64_t m_startedMilliseconds = 0;
        Offset m_offset = 0;
    };

    /// Applies evacuations and withdrawals. Returns whether the evacuated failure domains have changed.
    bool applyEvacuations(const Declarations &declarations);
    /// Returns whether this incarnation has said itself that it is leaving.
    bool hasSaidLeaving(const Endpoint &endpoint) const;
    /// @p isFromPeer: the peer has resolved doubts about the order of incarnations.
    bool applyChange(const EndpointChange &change, bool isFromPeer, std::optional<Core::Instant> recoveredAt, Core::Instant now);
    bool applyRemoval(const EndpointChange &change, std::optional<Core::Instant> recoveredAt);
    bool addEndpoint(const EndpointChange &change, Core::Instant now);
    bool updateEndpoint(KnownEndpoint &known, const EndpointChange &change, Core::Instant now);
    /// Returns the endpoint that the record contradicts: the same one with a later start, or another one of the service that has started later at the same
    /// address. Null if there is none.
    const KnownEndpoint *findContradicted(const Endpoint &endpoint) const;
    /**
     * Returns whether the record is to be ignored because it may have been sent by an incarnation that has ended since.
     *
     * Start times are taken from clocks that may be set back, so that a later start can have an earlier time. But records may also arrive late. An incarnation
     * that has ended sends no further records, so that a second one, with none of the contradicted incarnation in between, shows that it is the later one.
     */
    bool isDoubtful(const EndpointChange &change);
    /// Removes the other endpoints of the service at the same address, which have ended although their entries still exist. Returns the latest of their
    /// start times that is later than the endpoint's.
    std::optional<std::uint64_t> removeReplacedBy(const Endpoint &endpoint);
    bool removeUnlisted(const EndpointChanges &changes, std::optional<Core::Instant> recoveredAt);

    Declarations m_declarations;
    std::optional<Core::Instant> m_declarationsConfirmedAsOf; ///< Never decreases.
    std::shared_ptr<const ConfigurationIndex> m_configurationIndex;
    bool markMissing(const EndpointChange &change, Core::Instant since);

    std::set<std::string> m_evacuatedDomains; ///< Those whose evacuation in m_declarations is in force.
    Offset m_endpointsEnd = 0;
    Offset m_endpointsRevisionOffset = 0; ///< At most m_endpointsEnd.
    std::map<std::string, KnownEndpoint> m_endpoints; ///< By id.
    std::map<std::string, DoubtfulRecord> m_doubtful; ///< The newest record that was ignored by isDoubtful(), by endpoint id.
    std::map<std::string, std::uint64_t> m_saidLeaving; ///< Start times of incarnations that have said that they are leaving, by endpoint id.
};

}
