/// @file Keeps verdicts in the platform's log, so that they outlast the loss of all entries.
#pragma once

#include "LibGossip/GossipService.h"
#include "LibQuarantine/VerdictSource.h"
#include "LibServing/ReaderSelection.h"

namespace Serving {

struct VerdictKeeperSettings
{
    /// An entry stores a verdict if nobody else has for this time and once more for each entry that ranks before it. Every call to the log has a price.
    Core::Duration m_storeDelay{1000};
    Core::Duration m_readDelay{600}; ///< From the start, in which a peer may tell the verdicts.
    Core::Duration m_readDelayOfOthers{4000}; ///< The same for entries that do not read the log for others.
    Core::Duration m_initialRetryDelay{500};
    Core::Duration m_maximumRetryDelay{8000};

    bool operator==(const VerdictKeeperSettings &) const = default;
};

/// Objects that the keeper uses. All of them must outlive it.
struct VerdictKeeperParts
{
    Quarantine::PartQuarantine &m_quarantine;
    Gossip::GossipService &m_gossip;
    Telemetry::EventLog &m_log;
};

/// Returns how many of the other entries store a verdict on the part before @p self.
std::size_t storeRank(const Quarantine::PromptPart &part, const std::string &self, const std::vector<Gossip::Member> &others);

/// Reads stored verdicts unless a peer tells them, and stores new ones. Used on the loop's thread.
class VerdictKeeper
{
public:
    VerdictKeeper(VerdictKeeperParts parts, VerdictKeeperSettings settings, ReaderSelectionSettings readers, Quarantine::VerdictSource source);
    ~VerdictKeeper();

    VerdictKeeper(const VerdictKeeper &) = delete;
    VerdictKeeper &operator=(const VerdictKeeper &) = delete;

    /// Must be called a few times a second.
    void check(Core::Instant now);

private:
    struct PendingVerdict
    {
        std::uint32_t m_revision = 0;
        Core::Instant m_since;
    };

    void readIfDue(const std::vector<Gossip::Member> &entries, Core::Instant now);
    void storeIfDue(const Quarantine::Verdict &verdict, const std::vector<Gossip::Member> &entries, Core::Instant now);
    void handleFailure(const Core::Error &error, const char *what);

    const VerdictKeeperParts m_parts;
    const VerdictKeeperSettings m_settings;
    const ReaderSelectionSettings m_readers;
    const Quarantine::VerdictSource m_source;
    std::map<Quarantine::PromptPart, PendingVerdict> m_pending; ///< Verdicts that are not known to be stored.
    std::optional<Core::Instant> m_startedAt; ///< First check.
    Core::Instant m_nextCall; ///< No call before it, after a failed one.
    Core::Duration m_retryDelay;
    bool m_isCalling = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< False once the keeper is destroyed; calls can outlive it.
};

}
