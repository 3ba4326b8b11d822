/// @file One caller: keeps the addresses of entries and performs requests at them, one after another.
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

/// How callers behave.
struct CallerSettings
{
    std::vector<Core::Address> m_entries; ///< Whom to ask for addresses at first.
    Network::NetworkSettings m_network;
    std::uint32_t m_retries = 2; ///< Further tries of a repeatable request that got no whole answer, and of any that was not sent.
    bool m_honoursRetryAfter = false; ///< A refused request is tried again when the refusal says, within its deadline.
    std::string m_marker; ///< Unique to the run; part of each idempotency key.

    bool operator==(const CallerSettings &) const = default;
};

/// Thread-safe: several requests of one caller may run at once and share its addresses.
/// FIXME: each try opens a connection of its own; callers that keep connections would also meet ones that have gone silent.
class Caller
{
public:
    Caller(CallerSettings settings, std::uint64_t seed, VersionConsistencyChecker &versionChecker);

    /// Performs the request, which arrived at @p arrival; ends at its deadline plus a grace for the entry's own answer.
    Observation perform(const Request &request, Core::Instant arrival);

private:
    /// How a try ended, as far as another may follow.
    enum class AttemptEnd {
        Final,
        NotSent, ///< Nothing reached the entry.
        Refused, ///< The entry says that it did not run.
        Broken, ///< The answer is not whole.
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
