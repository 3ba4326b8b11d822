/// @file Emulates entries that follow the log, to compare ways of finding out that a waiting read is dead without a network.
#pragma once

#include "LibCore/Random.h"
#include "LibFollow/ReadEvidence.h"

#include <cstddef>
#include <cstdint>

namespace Emulator {

/// How an entry finds out that its waiting read is dead.
enum class ReadDetection {
    OwnLimit, ///< By the time limit of the read alone.
    ShortWait, ///< As OwnLimit, with a wait of two seconds.
    ShortWaitAfterLoss, ///< As OwnLimit; after a failed call the next wait is two seconds.
    KeepAlive, ///< The operating system probes the connection: after 1 s without a byte, each second, dead after two lost probes.
    OtherCalls, ///< judgeRead() without confirmations: only other calls and known records speak against a read.
    Confirmations, ///< judgeRead() with probes beside the waiting read, as the product does.
};

enum class PathFault {
    None,
    Cut, ///< No packet passes for a time; connections stay open.
    CutWithReset, ///< As Cut, and connections are reset when it begins.
    Silence, ///< As Cut, but new connections are accepted and calls on them are not answered.
    OpenConnections, ///< Connections that are open go silent for good; new ones work.
};

struct ReadExperiment
{
    std::size_t m_entries = 12;
    std::size_t m_failureDomains = 3;
    ReadDetection m_detection = ReadDetection::Confirmations;
    PathFault m_fault = PathFault::None;
    bool m_isLocal = false; ///< The fault concerns one failure domain only.
    Core::Duration m_cutLength{4500};
    Core::Duration m_cutAt{20000};
    Core::Duration m_duration{70000}; ///< Until the experiment ends, from its begin.
    Core::Duration m_waitLimit{25000}; ///< Of waiting reads, unless the detection shortens it.
    double m_lossShare = 0.02; ///< Share of the heartbeats that are lost.
    std::uint64_t m_seed = 1;
};

struct ReadOutcome
{
    double m_callsPerSecond = 0; ///< To the log by all entries, over the whole experiment.
    double m_heartbeatBytesPerSecond = 0; ///< Sent by the busiest entry to tell confirmations.
    /// Time until all entries have a change that was accepted just before the fault ended, or as it struck open connections, from then on.
    Core::Duration m_recovery{0};
    Core::Duration m_largestAge{0}; ///< Of the declarations of any entry, before the fault.

    bool operator==(const ReadOutcome &) const = default;
};

/// Plays the experiment; the same experiment always has the same outcome.
ReadOutcome play(const ReadExperiment &experiment);

}
