/// @file What a process believes about the fleet, and the one rule by which it changes: only towards newer records.
#pragma once

#include "LibCore/Clock.h"
#include "LibFleet/Configuration.h"
#include "LibFleet/Endpoint.h"

#include <cstdint>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Fleet {

/// Position in the log of declarations or of endpoints. Never repeats and never falls.
using Offset = std::uint64_t;

/// A version of a model's weights that the operators want on every engine.
struct DeclaredWeights
{
    std::string m_model;
    std::uint64_t m_version = 0;
    Offset m_offset = 0; ///< Of its record, which serves as the fencing token of orders.

    bool operator==(const DeclaredWeights &) const = default;

    MSGPACK_DEFINE_ARRAY(m_model, m_version, m_offset);
};

/// What the operators have declared up to an offset.
struct Declarations
{
    Offset m_end = 0; ///< Every record before this offset is reflected here; 0 if nothing was ever read.
    std::optional<Configuration> m_configuration;
    Offset m_configurationOffset = 0;
    std::vector<DeclaredWeights> m_weights; ///< One for each model.

    bool operator==(const Declarations &) const = default;

    /// Grows with each newer configuration, and is 0 only if there is none: the first record of a log has offset 0.
    std::uint64_t configurationRevisionOffset() const
    {
        return m_configuration ? m_configurationOffset + 1 : 0;
    }

    MSGPACK_DEFINE_ARRAY(m_end, m_configuration, m_configurationOffset, m_weights);
};

/// One record of the list of endpoints.
struct EndpointChange
{
    std::string m_id;
    Offset m_offset = 0;
    std::optional<Endpoint> m_endpoint; ///< Empty if the entry was removed.
    bool m_isMissing = false; ///< A peer knows the endpoint, but its entry is gone for an unclear reason.

    bool operator==(const EndpointChange &) const = default;

    MSGPACK_DEFINE_ARRAY(m_id, m_offset, m_endpoint, m_isMissing);
};

/// Records of the list of endpoints, in order.
struct EndpointChanges
{
    Offset m_end = 0; ///< Where the next read begins.
    bool m_isSnapshot = false; ///< The newest record of every endpoint; one that is not named is gone.
    std::vector<EndpointChange> m_changes;
    Offset m_revisionOffset = 0; ///< From a peer: see Beliefs::endpointsMark().
    /// From a peer: the time for which the list has been within its reach again, if entries may still be missing since then although their endpoints live.
    std::optional<std::uint64_t> m_millisecondsSinceRecovery;

    bool operator==(const EndpointChanges &) const = default;

    MSGPACK_DEFINE_ARRAY(m_end, m_isSnapshot, m_changes, m_revisionOffset, m_millisecondsSinceRecovery);
};

/// Which parts of the beliefs a record changed.
struct FleetStateUpdate
{
    bool m_configuration = false;
    bool m_weights = false;
    bool m_endpoints = false;

    bool any() const
    {
        return m_configuration || m_weights || m_endpoints;
    }
};

/// An endpoint together with what is known of its entry in the list.
struct KnownEndpoint
{
    Endpoint m_endpoint;
    Offset m_offset = 0; ///< Of the newest record about it.
    /// Its entry is gone, for a reason that may be the list's own outage: when the list came back, from which on the entry should have done so too.
    std::optional<Core::Instant> m_missingSince;
};

/**
 * The beliefs of one process. Used by one thread.
 *
 * Every record carries an offset, and an older one never replaces a newer one, whichever way it came. Without this rule an instance that was
 * cut off would bring its peers back to a configuration that the operators have replaced; callers would notice revoked keys that work again.
 */
class FleetState
{
public:
    /// Takes declarations read from the log or told by a peer.
    FleetStateUpdate apply(const Declarations &declarations);

    /**
     * Takes records of the list of endpoints. @p regainedAt: when the list came within reach again, if that is so short ago that entries may have
     * lapsed although their endpoints live; their time to come back counts from then.
     */
    FleetStateUpdate apply(const EndpointChanges &changes, std::optional<Core::Instant> regainedAt, Core::Instant now);

    /// Lets go of endpoints whose entries have not come back within @p grace.
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
    Offset endpointsEnd() const
    {
        return m_endpointsEnd;
    }
    /**
     * End of the newest record that changed more than the time of an endpoint's last sign of life. Who knows the list up to the same mark knows all
     * that matters of it, though the list grows by many records a second.
     */
    Offset endpointsRevisionOffset() const
    {
        return m_endpointsRevisionOffset;
    }
    /// All endpoints as changes that a peer can apply.
    EndpointChanges endpointSnapshot() const;
    const DeclaredWeights *declaredWeights(const std::string &model) const;

private:
    bool applyChange(const EndpointChange &change, std::optional<Core::Instant> regainedAt);
    /// Whether another endpoint of the service has started later at the same address: this one is no more, though its entry still stands.
    bool isReplaced(const Endpoint &endpoint) const;
    void removeReplacedBy(const Endpoint &endpoint);
    bool removeUnlisted(const EndpointChanges &changes, std::optional<Core::Instant> regainedAt);

    Declarations m_declarations;
    std::shared_ptr<const ConfigurationIndex> m_configurationIndex;
    bool markMissing(const EndpointChange &change, Core::Instant since);

    Offset m_endpointsEnd = 0;
    Offset m_endpointsRevisionOffset = 0; ///< At most m_endpointsEnd.
    std::map<std::string, KnownEndpoint> m_endpoints; ///< By id.
};

}
