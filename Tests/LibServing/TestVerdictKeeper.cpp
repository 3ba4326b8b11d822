/// @file Tests that verdicts outlast the loss of all entries, at the price of few calls to the log.

#include "LibServing/VerdictKeeper.h"

#include "../Support/LoopbackPeer.h"

#include <catch2/catch.hpp>
#include <unistd.h>

using Quarantine::PromptPart;
using Quarantine::Verdict;

namespace {

Gossip::Member member(const std::string &id)
{
    Gossip::Member made;
    made.m_id = id;
    made.m_incarnation = 1;
    made.m_role = Gossip::Role::Entry;
    made.m_peers = Core::Address{"127.0.0.1", 0};
    return made;
}

/// What outlasts the entries.
struct Store
{
    std::map<PromptPart, Verdict> m_verdicts;
    std::size_t m_reads = 0;
    std::size_t m_writes = 0;
    bool m_isAway = false;

    Quarantine::VerdictSource source()
    {
        Quarantine::VerdictSource source;
        source.m_readAll = [this](const Quarantine::VerdictsCallback &done) {
            ++m_reads;
            std::vector<Verdict> verdicts;
            for (const std::pair<const PromptPart, Verdict> &entry : m_verdicts) {
                verdicts.push_back(entry.second);
                verdicts.back().m_isStored = true;
            }
            done(m_isAway ? Core::Result<std::vector<Verdict>>(Core::makeError(Core::ErrorCode::Unavailable, "read", "log", "away"))
                          : Core::Result<std::vector<Verdict>>(verdicts));
        };
        source.m_store = [this](const Verdict &verdict, const Quarantine::VerdictStoredCallback &done) {
            ++m_writes;
            if (m_isAway) {
                done(Core::makeError(Core::ErrorCode::Unavailable, "store", "log", "away"));
                return;
            }
            m_verdicts[verdict.m_part] = verdict;
            done(Core::success());
        };
        return source;
    }
};

/// An entry as far as it keeps verdicts.
struct KeepingEntry
{
    explicit KeepingEntry(Store &store)
        : m_keeper({m_quarantine, m_gossip, m_log}, {}, {}, store.source())
    {
    }

    /// Lets time pass up to @p seconds from the start.
    void runUntil(int seconds)
    {
        while (m_now < m_start + std::chrono::seconds(seconds)) {
            m_now += Core::Duration(200);
            m_keeper.check(m_now);
        }
    }

    static Quarantine::RunFacts run(const std::string &part, Quarantine::Incarnation incarnation, Core::Duration writing)
    {
        Quarantine::RunFacts facts;
        facts.m_parts = {PromptPart{"drafts", part}};
        facts.m_request = incarnation;
        facts.m_incarnation = incarnation;
        facts.m_writing = writing;
        facts.m_isEndStated = true;
        return facts;
    }

    void blame()
    {
        for (Quarantine::Incarnation incarnation = 1; incarnation <= 3; ++incarnation) {
            const Core::Instant at = m_now - Core::Duration(5000) + Core::Duration(1000) * static_cast<std::int64_t>(incarnation);
            m_quarantine.recordCrash(run("bad", incarnation, Core::Duration(50)), at);
        }
        for (int answers = 0; answers < 30; ++answers) {
            m_quarantine.recordCompletion(run("other", 9, Core::Duration(400)), m_now);
        }
        m_quarantine.update(m_now);
    }

    bool refuses()
    {
        return m_quarantine.treat({PromptPart{"drafts", "bad"}}, 0, m_now).m_kind == Quarantine::TreatmentKind::Refuse;
    }

    const Core::Instant m_start = Core::Clock::now();
    Core::Instant m_now = m_start;
    Http::EventLoop m_loop;
    Telemetry::Metrics m_metrics;
    Telemetry::EventLog m_log{STDOUT_FILENO, "test", m_metrics, Telemetry::EventLogLimits{0, 0, 0}};
    Core::Random m_random{1};
    Fleet::FleetState m_fleetState;
    Placement::VersionDeadlines m_versions{Core::Duration(6500)};
    Wire::Node m_node{Gossip::nodeSettings(Core::Address{"127.0.0.1", 0}, Wire::NodeSettings().m_memoryBytes), m_metrics};
    Quarantine::PartQuarantine m_quarantine;
    Gossip::GossipService m_gossip{Gossip::GossipParts{m_loop, m_node, m_fleetState, m_versions, m_metrics, m_log, m_random}, {}, member("entry-1")};
    Serving::VerdictKeeper m_keeper;
};

}

TEST_CASE("A verdict is stored once, and a process that starts later refuses the part")
{
    Store store;
    KeepingEntry entry(store);
    entry.runUntil(2);
    entry.blame();
    entry.runUntil(10);
    CHECK(store.m_reads == 1);
    CHECK(store.m_writes == 1);
    KeepingEntry successor(store);
    CHECK_FALSE(successor.refuses());
    successor.runUntil(2);
    CHECK(successor.refuses());
    CHECK(store.m_writes == 1);
}

TEST_CASE("While the log is away, calls become rare, and the verdict is stored once it is back")
{
    Store store;
    store.m_isAway = true;
    KeepingEntry entry(store);
    entry.blame();
    entry.runUntil(1);
    REQUIRE(store.m_verdicts.empty());
    CHECK(store.m_reads + store.m_writes <= 2);
    store.m_isAway = false;
    entry.runUntil(20);
    CHECK(store.m_verdicts.size() == 1);
}

TEST_CASE("One entry after another tries to store a verdict")
{
    const std::vector<std::string> ids{"entry-1", "entry-2", "entry-3", "entry-4"};
    std::set<std::size_t> ranks;
    for (const std::string &self : ids) {
        std::vector<Gossip::Member> others;
        for (const std::string &id : ids) {
            if (id != self) {
                others.push_back(member(id));
            }
        }
        ranks.insert(Serving::storeRank(PromptPart{"drafts", "bad"}, self, others));
    }
    CHECK(ranks == std::set<std::size_t>{0, 1, 2, 3});
}
