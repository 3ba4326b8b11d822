/// @file A caller: caches the addresses of entries and sends requests to them.
#pragma once

#include "LibLoad/AnswerCheck.h"
#include "LibLoad/EntryAddressCache.h"
#include "LibLoad/Request.h"
#include "LibNetwork/NetworkSettings.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <istream>
#include <mutex>

namespace Load {

/// Settings of a caller.
struct CallerSettings
{
    std::vector<Core::Address> m_entries; ///< Entries that are asked for addresses first.
    Network::NetworkSettings m_network;
    std::uint32_t m_retries = 2; ///< Retries of a repeatable request that got no complete answer, and of any request that was not sent.
    bool m_honoursRetryAfter = false; ///< Retry a refused request after the delay requested by the refusal, within its deadline.
    std::string m_marker; ///< Unique to the run; included in each idempotency key.

    bool operator==(const CallerSettings &) const = default;
};

/// Sends requests. Thread-safe: requests of one caller may run concurrently and share its cached addresses.
/// FIXME: Each attempt opens a new connection, so reused connections that have become unresponsive are not covered.
class Caller
{
public:
    Caller(CallerSettings settings, std::uint64_t seed, VersionConsistencyChecker &versionChecker);

    /// Performs a request that arrived at @p arrival. Returns at the latest at its deadline plus a grace period for the answer of the entry.
    Observation perform(const Request &request, Core::Instant arrival);

private:
    /// How an attempt ended; decides whether a retry is allowed.
    enum class AttemptEnd {
        Final, ///< No retry is allowed.
        NotSent, ///< No part of the request reached the entry.
        Refused, ///< The entry guarantees that the request did not run.
        Broken, ///< The answer is not complete.
    };

    struct Timing
    {
        Core::Instant m_arrival;
        Core::Instant m_deadline;
    };

    AttemptEnd performAttempt(const Request &request, const Timing &timing, Observation &observation);
    AttemptEnd exchange(const Request &request, const Timing &timing, const Core::Address &entry, Observation &observation);
    AttemptEnd readAnswer(const Request &request, const Timing &timing, const Poco::Net::HTTPResponse &response, std::istream &body, Observation &observation);
    static void readLines(const Request &request, const Timing &timing, std::istream &body, Observation &observation);
    bool mayRetry(const Request &request, const Timing &timing, AttemptEnd end, const Observation &observation) const;
    static void pauseBeforeRetry(AttemptEnd end, const Timing &timing, const Observation &observation);
    Core::Result<Core::Address> chooseEntry(const Timing &timing);
    void refreshAddresses(const Timing &timing);
    std::string nextKey(const Request &request, std::uint32_t attempt);

    CallerSettings m_settings;
    VersionConsistencyChecker &m_versionChecker;
    std::mutex m_mutex;
    EntryAddressCache m_addressCache;
    Core::Random m_random;
};

}
