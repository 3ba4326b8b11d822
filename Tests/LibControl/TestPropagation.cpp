/// @file Entries and agents on real connections: changes reach all, also with the log down, and nothing reverts.

#include "LibControl/Publisher.h"
#include "LibControl/Recovery.h"
#include "LibCore/Random.h"
#include "LibWire/Pack.h"
#include "Processes.h"

#include <catch2/catch.hpp>

using namespace Examples;

namespace {

constexpr Core::Duration Patience{20000};

/// A few entries that know each other's addresses, and agents.
struct Site
{
    StandIn::LogStore m_log;
    StandIn::LogStore m_unreachable; ///< For entries that shall not see the log.
    std::vector<Core::Address> m_addresses;
    std::vector<std::unique_ptr<EntryProcess>> m_entries;
    std::vector<std::unique_ptr<AgentProcess>> m_agents;

    explicit Site(int entries)
    {
        StandIn::LogFaults faults;
        faults.m_down = true;
        m_unreachable.setFaults(faults);
        for (int number = 0; number < entries; ++number) {
            m_addresses.push_back(Network::freeLoopbackAddress());
        }
    }

    void startEntry(int number, Platform::Log &log)
    {
        m_entries.push_back(std::make_unique<EntryProcess>(number, m_addresses.at(static_cast<std::size_t>(number)), m_addresses, log));
    }

    void startAgent(int number, const AgentProcess::ChangeCallback &watch = {})
    {
        m_agents.push_back(std::make_unique<AgentProcess>(number, m_addresses, watch));
    }

    Core::Result<Control::RecordOutcome> publishAs(const std::string &author, Control::Offset basedOn, char digest)
    {
        Control::Publisher publisher(m_log);
        BOOST_OUTCOME_TRYV(publisher.load());
        const Control::Record record = makePublishRecord(Core::randomIdentifier(), basedOn, makeTemplate("t", {account("a", digest, 2)}), author);
        return publisher.publish(record, Patience);
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

    /// Whether a fresh reader of the log finds the template with this digest, put back after a loss.
    bool isPutBack(char digest)
    {
        const Core::Result<Control::RecoveredState> fresh = Control::recoverFromLog(m_log, Control::ControlStream);
        if (!fresh || !fresh.value().m_state || fresh.value().m_state->m_generation == 0) {
            return false;
        }
        const std::map<std::string, Control::AcceptedTemplate> &templates = fresh.value().m_state->m_templates;
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

TEST_CASE("an accepted change comes into force everywhere, with a plan that names live agents, and is reported so")
{
    Site site(2);
    site.startEntry(0, site.m_log);
    site.startEntry(1, site.m_log);
    for (int number = 0; number < 3; ++number) {
        site.startAgent(number);
    }
    const Core::Result<Control::RecordOutcome> outcome = site.publishAs("ann", 0, '1');
    REQUIRE(outcome);
    REQUIRE(outcome.value().m_accepted);
    REQUIRE(eventually([&site] { return site.isInForceEverywhere('1'); }));
    REQUIRE(eventually([&site] {
        const std::shared_ptr<const Control::ControlState> state = site.m_agents.front()->m_store.current();
        const std::map<std::string, Control::Plan>::const_iterator plan = state->m_plans.find("drafts");
        return plan != state->m_plans.end() && plan->second.m_deployments.size() == 1 && plan->second.m_deployments.front().m_replicas.size() == 2;
    }));
    REQUIRE(eventually([&site, &outcome] {
        for (const std::unique_ptr<AgentProcess> &one : site.m_agents) {
            const std::map<std::string, Control::SubscriberStatus> applied = site.m_entries.front()->m_feed.subscriberStatuses();
            const std::map<std::string, Control::SubscriberStatus>::const_iterator found = applied.find(one->m_member.m_id);
            if (found == applied.end() || found->second.m_applied < outcome.value().m_offset) {
                return false;
            }
        }
        return true;
    }));
}

TEST_CASE("of operators who race, one is accepted and all instances agree which")
{
    // Four operators publish from the same revision at the same moment; each must get a clear answer, and only one may win.
    Site site(2);
    site.startEntry(0, site.m_log);
    site.startEntry(1, site.m_log);
    site.startAgent(0);
    std::atomic<int> accepted = 0;
    std::atomic<int> refused = 0;
    std::atomic<char> winner = '0';
    std::vector<std::thread> operators;
    for (const char digest : {'1', '2', '3', '4'}) {
        operators.emplace_back([&site, &accepted, &refused, &winner, digest] {
            const Core::Result<Control::RecordOutcome> outcome = site.publishAs(std::string("operator ") + digest, 0, digest);
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
    REQUIRE(eventually([&site, &winner] { return site.isInForceEverywhere(winner); }));
}

TEST_CASE("an append whose answer is lost is settled by reading back")
{
    // The log takes the record and the answer is lost on the way. The operator must learn that it was accepted, and it must count once.
    Site site(1);
    site.startEntry(0, site.m_log);
    StandIn::LogFaults faults;
    faults.m_loseAnswers = true;
    site.m_log.setFaults(faults);
    const Core::Result<Control::RecordOutcome> outcome = site.publishAs("ann", 0, '1');
    REQUIRE(outcome);
    REQUIRE(outcome.value().m_accepted);
    REQUIRE(eventually([&site] { return site.isInForceEverywhere('1'); }));
    REQUIRE(site.m_entries.front()->m_store.current()->m_templates.at("t").m_revision == outcome.value().m_offset);
}

TEST_CASE("a change that one entry has read comes into force everywhere with the log down")
{
    // The log goes down right after a change was accepted, before most of the processes have read it.
    Site site(3);
    site.startEntry(0, site.m_log);
    site.startEntry(1, site.m_unreachable);
    site.startEntry(2, site.m_unreachable);
    for (int number = 0; number < 4; ++number) {
        site.startAgent(number);
    }
    REQUIRE(site.publishAs("ann", 0, '1'));
    REQUIRE(eventually([&site] { return holdsTemplate(site.m_entries.front()->m_store, "t", '1'); }));
    site.setLogDown(true);
    REQUIRE(eventually([&site] { return site.isInForceEverywhere('1'); }));
}

TEST_CASE("an empty instance recovers from its peers while the log is down")
{
    // An entry is replaced during an outage. It has no disk, so peers are all it can learn from.
    Site site(2);
    site.startEntry(0, site.m_log);
    REQUIRE(site.publishAs("ann", 0, '1'));
    REQUIRE(eventually([&site] { return site.isInForceEverywhere('1'); }));
    site.setLogDown(true);
    site.startEntry(1, site.m_log);
    site.startAgent(0);
    REQUIRE(eventually([&site] { return site.isInForceEverywhere('1'); }));
}

TEST_CASE("an empty instance recovers from a checkpoint and the records after it when nobody else is left")
{
    Site site(1);
    site.startEntry(0, site.m_log);
    REQUIRE(site.publishAs("ann", 0, '1'));
    Control::Publisher publisher(site.m_log);
    REQUIRE(publisher.load());
    REQUIRE(site.m_log.append(Control::ControlStream, Control::encodeRecord(Control::makeCheckpoint(publisher.state(), "e", "c"))));
    site.m_entries.clear();
    site.m_log.expireRecordsBefore(publisher.state().m_position);
    site.startEntry(0, site.m_log);
    REQUIRE(eventually([&site] { return site.isInForceEverywhere('1'); }));
}

TEST_CASE("a log that returns without an accepted change gets it back, and nobody reverts meanwhile")
{
    // The log loses the newest change in an outage. Agents keep it, a fresh entry takes it from the others, and the log's own
    // readers agree again once it has been put back.
    std::atomic<bool> isAccepted = false;
    std::atomic<bool> hasReverted = false;
    Site site(2);
    site.startEntry(0, site.m_log);
    site.startEntry(1, site.m_log);
    site.startAgent(0, [&isAccepted, &hasReverted](const Control::StateStore &store) {
        const bool holds = holdsTemplate(store, "t", '1') || holdsTemplate(store, "t", '2');
        hasReverted = hasReverted || (isAccepted && !holds);
    });
    const Core::Result<Control::RecordOutcome> outcome = site.publishAs("ann", 0, '1');
    REQUIRE(outcome);
    REQUIRE(eventually([&site] { return site.isInForceEverywhere('1'); }));
    isAccepted = true;
    site.m_log.dropRecordsFrom(outcome.value().m_offset);
    REQUIRE(eventually([&site] { return site.isPutBack('1'); }));
    REQUIRE(site.publishAs("bea", outcome.value().m_offset, '2').value().m_accepted);
    REQUIRE(eventually([&site] { return site.isInForceEverywhere('2'); }));
    REQUIRE_FALSE(hasReverted);
    REQUIRE(site.m_entries.front()->m_store.current()->m_generation > 0);
}

TEST_CASE("what only agents still know is put back when all entries were replaced and the log lost it")
{
    // Every entry is replaced during an outage, and the log comes back without the newest change, or without anything.
    Site site(2);
    site.startEntry(0, site.m_log);
    site.startAgent(0);
    const Core::Result<Control::RecordOutcome> first = site.publishAs("ann", 0, '1');
    REQUIRE(eventually([&site] { return site.isInForceEverywhere('1'); }));
    const Core::Result<Control::RecordOutcome> second = site.publishAs("ann", first.value().m_offset, '2');
    REQUIRE(eventually([&site] { return site.isInForceEverywhere('2'); }));
    site.m_entries.clear();
    SECTION("without the newest change")
    {
        site.m_log.dropRecordsFrom(second.value().m_offset);
    }
    SECTION("without anything")
    {
        site.m_log.dropRecordsFrom(1);
    }
    site.startEntry(1, site.m_log);
    REQUIRE(eventually([&site] { return site.isInForceEverywhere('2') && site.isPutBack('2'); }));
    REQUIRE(site.publishAs("bea", second.value().m_offset, '3').value().m_accepted);
    REQUIRE(eventually([&site] { return site.isInForceEverywhere('3'); }));
}

TEST_CASE("a leaving agent gets no replica in the next plan")
{
    Site site(1);
    site.startEntry(0, site.m_log);
    for (int number = 0; number < 3; ++number) {
        site.startAgent(number);
    }
    REQUIRE(site.publishAs("ann", 0, '1'));
    const auto plannedOn = [&site](const std::string &instance) {
        const std::shared_ptr<const Control::ControlState> state = site.m_entries.front()->m_store.current();
        const std::map<std::string, Control::Plan>::const_iterator plan = state->m_plans.find("drafts");
        if (plan == state->m_plans.end() || plan->second.m_deployments.empty()) {
            return false;
        }
        const std::vector<Control::PlannedReplica> &replicas = plan->second.m_deployments.front().m_replicas;
        return std::any_of(replicas.begin(), replicas.end(), [&instance](const Control::PlannedReplica &one) { return one.m_instance == instance; });
    };
    AgentProcess *planned = nullptr;
    REQUIRE(eventually([&site, &plannedOn, &planned] {
        for (const std::unique_ptr<AgentProcess> &one : site.m_agents) {
            planned = plannedOn(one->m_member.m_id) ? one.get() : planned;
        }
        return planned != nullptr;
    }));
    Protocol::Member leaving = planned->m_member;
    leaving.m_leaving = true;
    planned->m_subscriber.updateSelf(leaving);
    REQUIRE(eventually([&plannedOn, &leaving] { return !plannedOn(leaving.m_id); }));
}

TEST_CASE("the fencing number is refused until state is known, and then is the plan's offset")
{
    Site site(1);
    site.startEntry(0, site.m_log);
    site.startAgent(0);
    Wire::Node &node = site.m_agents.front()->m_node;
    const std::string request = Wire::pack(Protocol::FenceRequest{"drafts"});
    const Core::Result<std::string> early = node.request(site.m_addresses.front(), "control.fence", request, Patience);
    REQUIRE(early.error().m_code == Core::ErrorCode::Unavailable);
    REQUIRE(site.publishAs("ann", 0, '1'));
    REQUIRE(eventually([&site, &node, &request] {
        const Core::Result<std::string> answer = node.request(site.m_addresses.front(), "control.fence", request, Patience);
        return answer && Wire::unpack<Protocol::FenceAnswer>(answer.value(), "").value().m_planOffset > 0;
    }));
}
