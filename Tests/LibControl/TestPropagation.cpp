/// @file Entries and agents on real connections: changes reach all processes, also while the log is down, and no process reverts.

#include "LibControl/Publisher.h"
#include "LibControl/Recovery.h"
#include "LibCore/Random.h"
#include "LibWire/Pack.h"
#include "Processes.h"

#include <catch2/catch.hpp>

using namespace Examples;

namespace {

constexpr Core::Duration Timeout{20000};

/// Several entries that know each other's addresses, and agents.
struct Cluster
{
    StandIn::LogStore m_log;
    StandIn::LogStore m_unreachableLog; ///< For entries that must not reach the log.
    std::vector<Core::Address> m_addresses;
    std::vector<std::unique_ptr<EntryProcess>> m_entries;
    std::vector<std::unique_ptr<AgentProcess>> m_agents;

    explicit Cluster(int entries)
    {
        StandIn::LogFaults faults;
        faults.m_down = true;
        m_unreachableLog.setFaults(faults);
        for (int number = 0; number < entries; ++number) {
            m_addresses.push_back(Network::freeLoopbackAddress());
        }
    }

    void startEntry(int number, Platform::Log &log)
    {
        m_entries.push_back(std::make_unique<EntryProcess>(number, m_addresses.at(static_cast<std::size_t>(number)), m_addresses, log));
    }

    void startAgent(int number, const AgentProcess::ChangeCallback &callback = {})
    {
        m_agents.push_back(std::make_unique<AgentProcess>(number, m_addresses, callback));
    }

    Core::Result<Control::RecordOutcome> publishAs(const std::string &author, Control::Offset basedOn, char digest)
    {
        Control::Publisher publisher(m_log);
        BOOST_OUTCOME_TRYV(publisher.load());
        const Control::Record record = makePublishRecord(Core::randomIdentifier(), basedOn, makeTemplate("t", {account("a", digest, 2)}), author);
        return publisher.publish(record, Timeout);
    }

    bool isInForceEverywhere(char digest) const
    {
        for (const std::unique_ptr<EntryProcess> &one : m_entries) {
            if (!holdsTemplate(one->m_store, "t", digest)) {
                return false;
            }
        }
        for (const std::unique_ptr<AgentProcess> &one : m_agents) {
            if (!holdsTemplate(one->m_store, "t", digest)) {
                return false;
            }
        }
        return true;
    }

    /// Returns whether a new reader of the log finds the template with this digest, restored after a loss.
    bool isRestoredInLog(char digest)
    {
        const Core::Result<Control::RecoveredState> recovered = Control::recoverFromLog(m_log, Control::ControlStream);
        if (!recovered || !recovered.value().m_state || recovered.value().m_state->m_generation == 0) {
            return false;
        }
        const std::map<std::string, Control::AcceptedTemplate> &templates = recovered.value().m_state->m_templates;
        return templates.contains("t") && templates.at("t").m_template.m_accounts.front().m_digest == std::string(64, digest);
    }

    void setLogDown(bool down)
    {
        StandIn::LogFaults faults;
        faults.m_down = down;
        m_log.setFaults(faults);
    }
};

}

TEST_CASE("an accepted change comes into force everywhere, with a plan that names live agents, and every agent reports it")
{
    Cluster cluster(2);
    cluster.startEntry(0, cluster.m_log);
    cluster.startEntry(1, cluster.m_log);
    for (int number = 0; number < 3; ++number) {
        cluster.startAgent(number);
    }
    const Core::Result<Control::RecordOutcome> outcome = cluster.publishAs("ann", 0, '1');
    REQUIRE(outcome);
    REQUIRE(outcome.value().m_accepted);
    REQUIRE(eventually([&cluster] { return cluster.isInForceEverywhere('1'); }));
    REQUIRE(eventually([&cluster] {
        const std::shared_ptr<const Control::ControlState> state = cluster.m_agents.front()->m_store.current();
        const std::map<std::string, Control::Plan>::const_iterator plan = state->m_plans.find("drafts");
        return plan != state->m_plans.end() && plan->second.m_deployments.size() == 1 && plan->second.m_deployments.front().m_replicas.size() == 2;
    }));
    REQUIRE(eventually([&cluster, &outcome] {
        for (const std::unique_ptr<AgentProcess> &one : cluster.m_agents) {
            const std::map<std::string, Control::SubscriberStatus> applied = cluster.m_entries.front()->m_feed.subscriberStatuses();
            const std::map<std::string, Control::SubscriberStatus>::const_iterator found = applied.find(one->m_member.m_id);
            if (found == applied.end() || found->second.m_applied < outcome.value().m_offset) {
                return false;
            }
        }
        return true;
    }));
}

TEST_CASE("of competing changes one is accepted, and all instances agree on which")
{
    // Four operators publish changes based on the same revision at the same moment. Each must get a definite answer, and only one
    // change may be accepted.
    Cluster cluster(2);
    cluster.startEntry(0, cluster.m_log);
    cluster.startEntry(1, cluster.m_log);
    cluster.startAgent(0);
    std::atomic<int> accepted = 0;
    std::atomic<int> refused = 0;
    std::atomic<char> winner = '0';
    std::vector<std::thread> operators;
    for (const char digest : {'1', '2', '3', '4'}) {
        operators.emplace_back([&cluster, &accepted, &refused, &winner, digest] {
            const Core::Result<Control::RecordOutcome> outcome = cluster.publishAs(std::string("operator ") + digest, 0, digest);
            if (outcome && outcome.value().m_accepted) {
                ++accepted;
                winner = digest;
            } else if (outcome && outcome.value().m_winner > 0) {
                ++refused;
            }
        });
    }
    for (std::thread &one : operators) {
        one.join();
    }
    REQUIRE(accepted == 1);
    REQUIRE(refused == 3);
    REQUIRE(eventually([&cluster, &winner] { return cluster.isInForceEverywhere(winner); }));
}

TEST_CASE("the outcome of an append whose answer was lost is read back from the log")
{
    // The log appends the record, and the answer is lost. The operator must learn that the change was accepted, and the change must count once.
    Cluster cluster(1);
    cluster.startEntry(0, cluster.m_log);
    StandIn::LogFaults faults;
    faults.m_loseAnswers = true;
    cluster.m_log.setFaults(faults);
    const Core::Result<Control::RecordOutcome> outcome = cluster.publishAs("ann", 0, '1');
    REQUIRE(outcome);
    REQUIRE(outcome.value().m_accepted);
    REQUIRE(eventually([&cluster] { return cluster.isInForceEverywhere('1'); }));
    REQUIRE(cluster.m_entries.front()->m_store.current()->m_templates.at("t").m_revision == outcome.value().m_offset);
}

TEST_CASE("a change that one entry has read comes into force everywhere while the log is down")
{
    // The log goes down right after a change was accepted, before most of the processes have read it.
    Cluster cluster(3);
    cluster.startEntry(0, cluster.m_log);
    cluster.startEntry(1, cluster.m_unreachableLog);
    cluster.startEntry(2, cluster.m_unreachableLog);
    for (int number = 0; number < 4; ++number) {
        cluster.startAgent(number);
    }
    REQUIRE(cluster.publishAs("ann", 0, '1'));
    REQUIRE(eventually([&cluster] { return holdsTemplate(cluster.m_entries.front()->m_store, "t", '1'); }));
    cluster.setLogDown(true);
    REQUIRE(eventually([&cluster] { return cluster.isInForceEverywhere('1'); }));
}

TEST_CASE("an empty instance gets the state from its peers while the log is down")
{
    // An entry is replaced during an outage of the log. It has no disk, so it can get the state only from its peers.
    Cluster cluster(2);
    cluster.startEntry(0, cluster.m_log);
    REQUIRE(cluster.publishAs("ann", 0, '1'));
    REQUIRE(eventually([&cluster] { return cluster.isInForceEverywhere('1'); }));
    cluster.setLogDown(true);
    cluster.startEntry(1, cluster.m_log);
    cluster.startAgent(0);
    REQUIRE(eventually([&cluster] { return cluster.isInForceEverywhere('1'); }));
}

TEST_CASE("an empty instance recovers from a checkpoint and the records after it when no other process is left")
{
    Cluster cluster(1);
    cluster.startEntry(0, cluster.m_log);
    REQUIRE(cluster.publishAs("ann", 0, '1'));
    Control::Publisher publisher(cluster.m_log);
    REQUIRE(publisher.load());
    REQUIRE(cluster.m_log.append(Control::ControlStream, Control::encodeRecord(Control::makeCheckpoint(publisher.state(), "e", "c"))));
    cluster.m_entries.clear();
    cluster.m_log.expireRecordsBefore(publisher.state().m_position);
    cluster.startEntry(0, cluster.m_log);
    REQUIRE(eventually([&cluster] { return cluster.isInForceEverywhere('1'); }));
}

TEST_CASE("an accepted change that the log has lost is restored into it, and no process reverts meanwhile")
{
    // The log loses the newest change in an outage. Agents keep it, a new entry gets it from the others, and the readers of the
    // log agree again once it has been restored.
    std::atomic<bool> isAccepted = false;
    std::atomic<bool> hasReverted = false;
    Cluster cluster(2);
    cluster.startEntry(0, cluster.m_log);
    cluster.startEntry(1, cluster.m_log);
    cluster.startAgent(0, [&isAccepted, &hasReverted](const Control::StateStore &store) {
        const bool holds = holdsTemplate(store, "t", '1') || holdsTemplate(store, "t", '2');
        hasReverted = hasReverted || (isAccepted && !holds);
    });
    const Core::Result<Control::RecordOutcome> outcome = cluster.publishAs("ann", 0, '1');
    REQUIRE(outcome);
    REQUIRE(eventually([&cluster] { return cluster.isInForceEverywhere('1'); }));
    isAccepted = true;
    cluster.m_log.dropRecordsFrom(outcome.value().m_offset);
    REQUIRE(eventually([&cluster] { return cluster.isRestoredInLog('1'); }));
    REQUIRE(cluster.publishAs("bea", outcome.value().m_offset, '2').value().m_accepted);
    REQUIRE(eventually([&cluster] { return cluster.isInForceEverywhere('2'); }));
    REQUIRE_FALSE(hasReverted);
    REQUIRE(cluster.m_entries.front()->m_store.current()->m_generation > 0);
}

TEST_CASE("a change that only agents still have is restored after all entries were replaced and the log lost it")
{
    // Every entry is replaced during an outage, and the log returns without the newest change, or without any record.
    Cluster cluster(2);
    cluster.startEntry(0, cluster.m_log);
    cluster.startAgent(0);
    const Core::Result<Control::RecordOutcome> first = cluster.publishAs("ann", 0, '1');
    REQUIRE(eventually([&cluster] { return cluster.isInForceEverywhere('1'); }));
    const Core::Result<Control::RecordOutcome> second = cluster.publishAs("ann", first.value().m_offset, '2');
    REQUIRE(eventually([&cluster] { return cluster.isInForceEverywhere('2'); }));
    cluster.m_entries.clear();
    SECTION("without the newest change")
    {
        cluster.m_log.dropRecordsFrom(second.value().m_offset);
    }
    SECTION("without any record")
    {
        cluster.m_log.dropRecordsFrom(1);
    }
    cluster.startEntry(1, cluster.m_log);
    REQUIRE(eventually([&cluster] { return cluster.isInForceEverywhere('2') && cluster.isRestoredInLog('2'); }));
    REQUIRE(cluster.publishAs("bea", second.value().m_offset, '3').value().m_accepted);
    REQUIRE(eventually([&cluster] { return cluster.isInForceEverywhere('3'); }));
}

TEST_CASE("a leaving agent gets no replica in the next plan")
{
    Cluster cluster(1);
    cluster.startEntry(0, cluster.m_log);
    for (int number = 0; number < 3; ++number) {
        cluster.startAgent(number);
    }
    REQUIRE(cluster.publishAs("ann", 0, '1'));
    const auto plannedOn = [&cluster](const std::string &instance) {
        const std::shared_ptr<const Control::ControlState> state = cluster.m_entries.front()->m_store.current();
        const std::map<std::string, Control::Plan>::const_iterator plan = state->m_plans.find("drafts");
        if (plan == state->m_plans.end() || plan->second.m_deployments.empty()) {
            return false;
        }
        const std::vector<Control::PlannedReplica> &replicas = plan->second.m_deployments.front().m_replicas;
        return std::any_of(replicas.begin(), replicas.end(), [&instance](const Control::PlannedReplica &one) { return one.m_instance == instance; });
    };
    AgentProcess *planned = nullptr;
    REQUIRE(eventually([&cluster, &plannedOn, &planned] {
        for (const std::unique_ptr<AgentProcess> &one : cluster.m_agents) {
            planned = plannedOn(one->m_member.m_id) ? one.get() : planned;
        }
        return planned != nullptr;
    }));
    Protocol::Member leaving = planned->m_member;
    leaving.m_leaving = true;
    planned->m_subscriber.updateSelf(leaving);
    REQUIRE(eventually([&plannedOn, &leaving] { return !plannedOn(leaving.m_id); }));
}

TEST_CASE("a request for the fencing number is refused until state is known, and then returns the plan's offset")
{
    Cluster cluster(1);
    cluster.startEntry(0, cluster.m_log);
    cluster.startAgent(0);
    Wire::Node &node = cluster.m_agents.front()->m_node;
    const std::string request = Wire::pack(Protocol::FenceRequest{"drafts"});
    const Core::Result<std::string> early = node.request(cluster.m_addresses.front(), "control.fence", request, Timeout);
    REQUIRE(early.error().m_code == Core::ErrorCode::Unavailable);
    REQUIRE(cluster.publishAs("ann", 0, '1'));
    REQUIRE(eventually([&cluster, &node, &request] {
        const Core::Result<std::string> answer = node.request(cluster.m_addresses.front(), "control.fence", request, Timeout);
        return answer && Wire::unpack<Protocol::FenceAnswer>(answer.value(), "").value().m_planOffset > 0;
    }));
}
