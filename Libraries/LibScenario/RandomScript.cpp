/// @file Implementation of the random fault schedules.

#include "LibScenario/RandomScript.h"
#include "LibCore/Random.h"

#include <set>

namespace Scenario {

namespace {

constexpr int MinimumFaults = 4;
constexpr int FaultSpread = 5;
constexpr int MinimumSleepMs = 200;
constexpr int SleepSpreadMs = 2500;
constexpr int Replicas = 4;
constexpr int DraftCount = 300;
constexpr int BookingCount = 120;
constexpr int FinalCount = 30;
constexpr double DraftRate = 25;
constexpr double BookingRate = 10;

/// Builds a script and tracks the processes to be restored at its end.
class ScriptBuilder
{
public:
    explicit ScriptBuilder(std::uint64_t seed)
        : m_random(seed)
    {
        m_script.m_name = "soak-" + std::to_string(seed);
        m_script.m_description = "Random faults while callers are served.";
        m_script.m_topology = Bench::smallTopology();
    }

    Script build()
    {
        addStart();
        const int faults = MinimumFaults + static_cast<int>(m_random.below(FaultSpread));
        for (int fault = 0; fault < faults; ++fault) {
            addFault();
            add(Sleep{Core::Duration(MinimumSleepMs + static_cast<int>(m_random.below(SleepSpreadMs)))}, "hold");
        }
        addRepairs();
        addEnd();
        return m_script;
    }

private:
    void add(Verb verb, const std::string &text)
    {
        m_script.m_steps.push_back(Step{std::move(verb), text});
    }

    void addPublish(const std::string &version)
    {
        Publish publish;
        publish.m_template = "drafts";
        publish.m_service = "drafting-models";
        publish.m_account = "retail";
        publish.m_model = "moodboard";
        publish.m_version = version;
        publish.m_replicas = Replicas;
        publish.m_policy = "bytes";
        publish.m_operator = "technician";
        add(publish, "publish version " + version);
        m_version = version;
    }

    void addLoad(const std::string &name, const std::string &target, int count, double rate, bool keyed, bool background)
    {
        Load load;
        load.m_name = name;
        load.m_target = target;
        load.m_account = "retail";
        load.m_count = count;
        load.m_rate = rate;
        load.m_keyed = keyed;
        load.m_background = background;
        load.m_honoursRetryAfter = !keyed;
        add(load, "load " + name);
    }

    void addWait(Condition condition)
    {
        Wait wait;
        wait.m_condition = condition;
        wait.m_name = m_version;
        wait.m_number = Replicas;
        wait.m_timeout = Core::Duration(60000);
        add(wait, condition == Condition::Serving ? "wait until version " + m_version + " serves" : "wait until in force");
    }

    void addStart()
    {
        addPublish("1");
        Publish booking;
        booking.m_template = "booking";
        booking.m_service = "booking-desk";
        booking.m_isModel = false;
        booking.m_account = "retail";
        booking.m_operator = "technician";
        add(booking, "publish booking");
        addWait(Condition::Serving);
        addWait(Condition::InForce);
        addLoad("drafts", "generate:drafts", DraftCount, DraftRate, false, true);
        addLoad("bookings", "call:booking-desk", BookingCount, BookingRate, true, true);
    }

    std::string randomProcess()
    {
        const std::vector<std::string> processes = {
            "entry-1",
            "entry-2",
            "entry-3",
            "agent:drafting-models-1",
            "agent:drafting-models-2",
            "agent:drafting-models-3",
            "agent:booking-desk-1",
            "agent:booking-desk-2",
        };
        return processes[m_random.below(processes.size())];
    }

    void addKill()
    {
        const std::string process = randomProcess();
        if (m_frozen.contains(process) || !m_killed.insert(process).second) {
            return;
        }
        add(ControlProcess{ProcessAction::Kill, process}, "kill " + process);
    }

    void addFreeze()
    {
        const std::string process = randomProcess();
        if (m_killed.contains(process) || !m_frozen.insert(process).second) {
            return;
        }
        add(ControlProcess{ProcessAction::Freeze, process}, "freeze " + process);
    }

    void addNetworkFault(const std::string &kind)
    {
        const std::string pair = R"([{"from": "hcm", "to": "hanoi"}, {"from": "hanoi", "to": "hcm"}])";
        add(Fault{"network", "{\"" + kind + "\": " + pair + "}"}, "network " + kind);
    }

    void addFault()
    {
        constexpr std::uint64_t kinds = 8;
        switch (m_random.below(kinds)) {
        case 0:
            return addKill();
        case 1:
            return addFreeze();
        case 2:
            return addNetworkFault("cut");
        case 3:
            return addNetworkFault("silent");
        case 4:
            return add(Fault{"log", R"({"lose_answers": true})"}, "log loses answers");
        case 5:
            return add(Fault{"log", R"({"list_down": true})"}, "instance list down");
        case 6:
            return add(Fault{"origin", R"({"corrupt_percent": 20})"}, "origin corrupts");
        default:
            // A publication fails if the log gives no answers for a long time. Therefore version 2 is published at most once, and before such a fault can make
            // the publication fail.
            return m_version == "1" ? addPublish("2") : addFreeze();
        }
    }

    void addRepairs()
    {
        add(Fault{"network", R"({"cut": [], "silent": []})"}, "network mended");
        add(Fault{"log", R"({"lose_answers": false, "list_down": false})"}, "log mended");
        add(Fault{"origin", R"({"corrupt_percent": 0})"}, "origin mended");
        for (const std::string &process : m_frozen) {
            add(ControlProcess{ProcessAction::Resume, process}, "resume " + process);
        }
        for (const std::string &process : m_killed) {
            add(ControlProcess{ProcessAction::Replace, process}, "replace " + process);
        }
    }

    void addEnd()
    {
        for (const char *load : {"drafts", "bookings"}) {
            add(Join{load}, std::string("join ") + load);
            add(ExpectLoad{load, "wrong", Relation::Equal, 0}, std::string("no wrong answer in ") + load);
        }
        addWait(Condition::Serving);
        addWait(Condition::InForce);
        addLoad("after", "generate:drafts", FinalCount, DraftRate, false, false);
        add(ExpectLoad{"after", "ok", Relation::Equal, FinalCount}, "every later draft is answered");
        add(ExpectJournals{}, "journals");
    }

    Core::Random m_random;
    Script m_script;
    std::string m_version; ///< Most recently published version.
    std::set<std::string> m_killed; ///< Processes to be replaced; disjoint from m_frozen.
    std::set<std::string> m_frozen; ///< Processes to be resumed.
};

}

Script randomScript(std::uint64_t seed)
{
    return ScriptBuilder(seed).build();
}

}
