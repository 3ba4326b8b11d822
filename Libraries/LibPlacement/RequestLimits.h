/// @file Divides the requests that an endpoint in need takes among the entries, so that all of them together keep to its limit.
#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Random.h"
#include "LibFleet/FleetState.h"

#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Placement {

/// An entry that may hold a share of a limit.
struct LimitHolder
{
    std::string m_id;
    std::string m_failureDomain;

    bool operator==(const LimitHolder &) const = default;
};

/// What an endpoint has stated about its limit, as exchanged between entries.
struct LimitObservation
{
    std::string m_endpoint; ///< Id.
    std::uint64_t m_startedMilliseconds = 0; ///< Incarnation of the endpoint.
    std::optional<double> m_perSecond; ///< Requests per second that it takes from all entries together; empty if it states no limit any more.
    std::uint64_t m_ageMilliseconds = 0; ///< Time since the statement.

    bool operator==(const LimitObservation &) const = default;

    MSGPACK_DEFINE_ARRAY(m_endpoint, m_startedMilliseconds, m_perSecond, m_ageMilliseconds);
};

struct RequestLimitSettings
{
    /// Lower bound of limits, in requests per second. Only answers tell that a limit has ended, so even an endpoint that takes nothing must get a request
    /// now and then.
    double m_minimum = 0.1;
    double m_maximum = 100'000; ///< A larger limit, in requests per second, is none: no endpoint gets as many.
    /// Entries that share a limit of less than one request per second. Each further request per second adds one, so that a share is neither so small that an
    /// endpoint is idle most of the time, nor the sum of single requests of all shares larger than what the endpoint takes in a few seconds.
    std::size_t m_minimumHolders = 2;
    Core::Duration m_reportedAge{30000}; ///< Older observations of other entries are ignored: they may come from a process that was frozen or cut off.
    Core::Duration m_liftedLifetime{
        60000}; ///< For this time the end of a limit is remembered; longer than m_reportedAge, so that no old observation revives it.

    bool operator==(const RequestLimitSettings &) const = default;
};

/// Returns whether @p left holds shares of the endpoint's limit before @p right: by rendezvous weight, entries of its failure domain first.
bool ranksBefore(const LimitHolder &left, const LimitHolder &right, const Fleet::Endpoint &endpoint);
/// Returns how many of @p others rank before @p self.
std::size_t holderRank(const Fleet::Endpoint &endpoint, const LimitHolder &self, const std::vector<LimitHolder> &others);

/**
 * Returns the share of @p self in an endpoint's limit, in requests per second; 0 if other entries hold it.
 *
 * A limit is often less than one request per second for each entry, so only a few entries hold it: those with the highest rendezvous weights for the endpoint,
 * of its failure domain first, since entries prefer endpoints of their own domain. All entries that know the same members compute the same division.
 */
double ownShare(
    const Fleet::Endpoint &endpoint, double perSecond, const LimitHolder &self, const std::vector<LimitHolder> &others, const RequestLimitSettings &settings);

/**
 * Keeps the limits of endpoints and paces this process's requests to them.
 *
 * A limit holds until an endpoint's answer states none, whichever entry received it, or the endpoint has ended; time alone does not end it. Used by one thread.
 */
class RequestLimits
{
public:
    explicit RequestLimits(LimitHolder self, RequestLimitSettings settings = {});

    /// Sets the other entries. @p isComplete: whether they are nearly all; until then this process holds no share of any limit.
    void setEntries(std::vector<LimitHolder> others, bool isComplete, Core::Instant now);

    /**
     * Records what an answer of the endpoint states. @p sentAt: when its request was sent; an answer without a limit does not end one that was stated after
     * that. Returns whether the endpoint has become limited or unlimited.
     */
    bool recordAnswer(const Fleet::Endpoint &endpoint, std::optional<double> perSecond, Core::Instant sentAt, Core::Instant now);
    /// Records what another entry has observed. Returns whether the endpoint has become limited or unlimited.
    bool recordObservation(const Fleet::Endpoint &endpoint, const LimitObservation &observation, Core::Instant now);
    /// Adds to the age of all observations a time in which the machine was suspended, which the clock does not count.
    void addAge(Core::Duration suspended);
    /// Returns up to @p count observations, chosen at random.
    std::vector<LimitObservation> sample(std::size_t count, Core::Instant now, Core::Random &random) const;

    /// Returns whether the endpoint may get a request of this process now.
    bool maySend(const Fleet::Endpoint &endpoint, Core::Instant now) const;
    /// Records that this process has sent a request to the endpoint.
    void recordSent(const Fleet::Endpoint &endpoint, Core::Instant now);
    /// Returns the endpoint's limit in requests per second; empty if it has none.
    std::optional<double> limit(const Fleet::Endpoint &endpoint) const;
    /// Returns this process's share of the endpoint's limit in requests per second; 0 if it has no limit.
    double share(const Fleet::Endpoint &endpoint) const;
    /// Returns the number of endpoints that have a limit.
    std::size_t limitedCount() const;

    /// Removes endpoints that are not in @p known, and limits that ended long ago.
    void retainKnown(const std::map<std::string, Fleet::KnownEndpoint> &known, Core::Instant now);

private:
    struct Limit
    {
        Fleet::Endpoint m_endpoint;
        std::optional<double> m_perSecond; ///< Within the bounds of the settings; empty once the limit has ended.
        Core::Instant m_observedAt;
        double m_share = 0; ///< Requests per second that this process may send; 0 without a limit.
        Core::Instant m_nextSendAt; ///< Earliest time of the next request.
    };

    bool record(const Fleet::Endpoint &endpoint, std::optional<double> perSecond, Core::Instant observedAt, Core::Instant now);
    void updateShare(Limit &limit, Core::Instant now) const;
    /// Returns what is known of this incarnation of the endpoint if it has a limit, and null otherwise.
    const Limit *findLimited(const Fleet::Endpoint &endpoint) const;

    const LimitHolder m_self;
    const RequestLimitSettings m_settings;
    std::vector<LimitHolder> m_others;
    bool m_isComplete = true;
    std::map<std::string, Limit> m_limits; ///< By endpoint id.
};

}
