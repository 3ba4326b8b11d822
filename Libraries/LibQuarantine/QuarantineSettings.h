/// @file Settings of the quarantine of parts of prompts.
#pragma once

#include "LibQuarantine/Decision.h"

namespace Quarantine {

/// Settings for single requests under which endpoints end.
struct RequestSettings
{
    std::size_t m_maximumEnds = 3; ///< A request under which this many endpoints have ended reaches no other, whichever entry gets it.
    /// The same for a request to which answers were completed before, such as one for a thing that many callers want: it may be at many endpoints by chance.
    std::size_t m_maximumProvenEnds = 6;
    /// Time in which other entries tell of ends and of completed answers. A request that would be the last one allowed waits for it, after its arrival and
    /// after the newest end.
    Core::Duration m_propagationTime{300};
    Core::Duration m_commonCauseWindow{100};
    std::size_t m_commonCauseEnds = 5; ///< Endpoints that end within the window, by a loss of power or of connections rather than under single requests.
    Core::Duration m_lifetime{1800000}; ///< For which ends are remembered.
    Core::Duration m_verdictLifetime{1800000}; ///< From the decision, however often the request comes: it may have been there by chance.
    std::size_t m_maximumSuspects = 1024;
    std::size_t m_rememberedEnds = 8; ///< Of one request; more than m_maximumEnds, since some may turn out not to count.
    std::size_t m_recentEnds = 1024; ///< Endpoints whose ends are compared.
    std::size_t m_rememberedCompletions = 512; ///< Requests to which this process has returned complete answers most recently.

    bool operator==(const RequestSettings &) const = default;
};

struct QuarantineSettings
{
    DecisionSettings m_decision;
    RequestSettings m_requests;
    /// After a crash under a part, requests with it wait for this time, in which other entries tell what they have seen, and for up to as long again, so that
    /// the entries do not send them all at once.
    Core::Duration m_holdTime{700};
    /// Once a request with a suspect part was sent, others of this process with the part wait for this time or until it has ended well.
    Core::Duration m_trialTime{1000};
    /// An endpoint that ends under a request does so soon after the beginning of the answer. One that has been writing for longer is not suspected as much.
    Core::Duration m_beginning{1000};
    /// An answer that took at least this long from its beginning to its stated end shows that its endpoint does not end under it.
    Core::Duration m_provingTime{300};
    Core::Duration m_crashLifetime{1800000}; ///< Older crashes are forgotten.
    Core::Duration m_verdictLifetime{3600000}; ///< A verdict ends if no request with the part has come for this time.
    Core::Duration m_livenessLifetime{60000}; ///< For this time it is remembered that an endpoint lived on after it was suspected to have ended.
    Core::Duration m_sharingTime{2000}; ///< For this time an entry that asked is told about completed answers.
    std::size_t m_minimumCrashes = 3; ///< A verdict with fewer is lifted, after it has turned out that some endpoints had not ended.
    std::size_t m_maximumSuspects = 512;
    std::size_t m_maximumVerdicts = 256;
    std::size_t m_maximumHistory = 4096; ///< Parts whose completed answers are remembered.
    std::size_t m_maximumCrashes = 12; ///< Remembered for a part; enough for any threshold.
    std::size_t m_maximumUnproved = 1024; ///< Completed answers of which it is not known yet whether the endpoint lived on.
    std::size_t m_maximumLivenessRecords = 4096;

    bool operator==(const QuarantineSettings &) const = default;
};

}
