/// @file Settings of an entry.
#pragma once

#include "LibClaims/ClaimWriter.h"
#include "LibProtocol/InstanceSettings.h"
#include "LibRouting/Scheduler.h"

#include <vector>

namespace Entry {

/// Limits on callers' connections and requests.
struct CallerLimits
{
    std::size_t m_maximumConnections = 512; ///< Concurrent connections, with one thread each; more are refused.
    std::size_t m_maximumBodyBytes = 1 << 20; ///< Bytes of a request's body.
    std::size_t m_maximumHeldBytes = 64 << 20; ///< Bytes of the bodies of all requests that are held at the same time; further requests are refused.
    std::size_t m_maximumAnswerBytes = 16 << 20; ///< Bytes of a plain service's answer.
    std::size_t m_maximumHeldAnswerBytes = 64 << 20; ///< Bytes of all answers that are held at the same time; further calls are refused.
    Core::Duration m_requestTimeout{10000}; ///< Time for a caller to send a request, from the first byte to the last.
    Core::Duration m_keepAliveTimeout{5000}; ///< Idle time after which a connection is closed.
    Core::Duration m_defaultTimeout{30000};
    Core::Duration m_maximumTimeout{600000};
    std::uint32_t m_defaultTokens = 256;
    std::uint32_t m_maximumTokens = 65536;

    bool operator==(const CallerLimits &) const = default;
};

struct EntrySettings
{
    Protocol::InstanceSettings m_instance;
    Core::Address m_log;
    Core::Address m_instances;
    std::vector<Core::Address> m_entries; ///< Wire addresses of some entries.
    CallerLimits m_callers;
    Routing::SchedulerSettings m_scheduler;
    Claims::WriterSettings m_claims;
    std::size_t m_watchedPerGroup = 24; ///< Agents watched of each service, or of each version if the service has more agents than this.
    std::size_t m_addressesPerAnswer = 3;
    Core::Duration m_addressLifetime{3000}; ///< Time for which callers may use an address.
    Core::Duration m_drainLimit{600000}; ///< Longest wait for running requests when leaving.
};

/// Reads the complete settings file. Problems are recorded in the reader.
EntrySettings readEntrySettings(Settings::Reader &reader);

}
