/// @file Implementation of the propagation measurement.

#include "Propagation.h"
#include "LibControl/LogTail.h"
#include "LibControl/PlannerWorker.h"
#include "LibControl/StateFeed.h"
#include "LibControl/StateSubscriber.h"
#include "LibNetwork/Listener.h"
#include "LibStandInLog/LogStore.h"
#include "Samples.h"

#include <Poco/Net/ServerSocket.h>
#include <iomanip>
#include <memory>
#include <sys/resource.h>
#include <thread>

namespace Benchmark {

namespace {

constexpr Core::Duration WaitTimeout{60000};
constexpr int Entries = 2;

Wire::NodeSettings nodeSettings(const std::optional<Core::Address> &listen)
{
    Wire::NodeSettings settings;
    settings.m_listen = listen;
    return settings;
}

/// Components common to an entry and an agent.
struct Process
{
    Telemetry::Metrics m_metrics;
    Protocol::Member m_member;
    Wire::Node m_node;
    Control::StateStore m_store;
    Control::StateSubscriber m_subscriber;

    Process(const Protocol::Member &member, const std::optional<Core::Address> &listen, const std::vector<Core::Address> &seeds)
        : m_member(member)
        , m_node(nodeSettings(listen), m_metrics)
        , m_store(m_metrics)
        , m_subscriber(m_node, m_store, m_member, seeds, m_metrics)
    {
    }
};

/// An entry that reads the log and feeds the control state to subscribers.
struct EntryProcess
{
    Process m_process;
    Control::StateFeed m_feed;
    Control::LogTail m_tail;

    EntryProcess(const Protocol::Member &member, const std::vector<Core::Address> &seeds, Platform::Log &log)
        : m_process(member, member.m_wire, seeds)
        , m_feed(m_process.m_node, m_process.m_store, m_process.m_metrics)
        , m_tail(log, m_process.m_store, m_process.m_metrics)
    {
        if (const Core::Result<void> started = m_process.m_node.start(); !started) {
            throw std::runtime_error(started.error().message());
        }
        m_feed.start();
        m_tail.start();
        m_process.m_subscriber.start();
    }

    ~EntryProcess()
    {
        m_process.m_subscriber.stop();
        m_tail.stop();
        m_process.m_node.stop();
        m_feed.stop();
    }
};

bool waitFor(const std::function<bool()> &condition)
{
    const Core::Instant deadline = Core::Clock::now() + WaitTimeout;
    while (!condition()) {
        if (Core::Clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

double processorSeconds()
{
    constexpr double microsecondsPerSecond = 1e6;
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double quantile(std::vector<double> samples, double fraction)
{
    std::sort(samples.begin(), samples.end());
    return samples[std::min(samples.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(samples.size())))];
}

std::uint64_t bytesReceived(const std::vector<std::unique_ptr<Process>> &agents)
{
    std::uint64_t sum = 0;
    for (const std::unique_ptr<Process> &agent : agents) {
        sum += agent->m_metrics.counter("wire_bytes_received_total{purpose=\"control\"}").value();
    }
    return sum;
}

bool haveAllApplied(const std::vector<std::unique_ptr<Process>> &agents, Control::Offset revision)
{
    return std::all_of(
        agents.begin(), agents.end(), [revision](const std::unique_ptr<Process> &agent) { return agent->m_store.current()->m_applied >= revision; });
}

}

void measurePropagation(int subscribers, int changes, std::ostream &output)
{
    StandIn::LogStore log;
    std::vector<Core::Address> seeds;
    std::vector<std::unique_ptr<EntryProcess>> entries;
    for (int number = 0; number < Entries; ++number) {
        seeds.push_back(Network::freeLoopbackAddress());
    }
    for (int number = 0; number < Entries; ++number) {
        Protocol::Member member;
        member.m_id = "entry-" + std::to_string(number);
        member.m_incarnation = member.m_id;
        member.m_wire = seeds[static_cast<std::size_t>(number)];
        entries.push_back(std::make_unique<EntryProcess>(member, seeds, log));
    }
    std::vector<std::unique_ptr<Process>> agents;
    for (const Protocol::Member &member : makeFleet(subscribers)) {
        agents.push_back(std::make_unique<Process>(member, std::nullopt, seeds));
        if (const Core::Result<void> started = agents.back()->m_node.start(); !started) {
            throw std::runtime_error(started.error().message());
        }
        agents.back()->m_subscriber.start();
    }
    const auto hasAllSubscribers = [&entries, subscribers] {
        return std::all_of(entries.begin(), entries.end(), [subscribers](const std::unique_ptr<EntryProcess> &entry) {
            return entry->m_process.m_store.members().size() >= static_cast<std::size_t>(subscribers);
        });
    };
    if (!waitFor(hasAllSubscribers)) {
        throw std::runtime_error("not every subscriber arrived");
    }
    std::vector<double> milliseconds;
    const std::uint64_t bytesBefore = bytesReceived(agents);
    const double processorBefore = processorSeconds();
    const Core::Instant started = Core::Clock::now();
    for (int number = 0; number < changes; ++number) {
        const Core::Instant published = Core::Clock::now();
        const Control::Template changedTemplate = makeTemplate(subscribers, static_cast<char>('a' + number % 6));
        const Core::Result<Platform::Offset> offset =
            log.append(Control::ControlStream, Control::encodeRecord(makePublishRecord(static_cast<Control::Offset>(number), changedTemplate)));
        if (!offset || !waitFor([&agents, &offset] { return haveAllApplied(agents, offset.value()); })) {
            throw std::runtime_error("a change did not come into force everywhere");
        }
        constexpr double millisecondsPerSecond = 1000;
        milliseconds.push_back(Core::secondsBetween(published, Core::Clock::now()) * millisecondsPerSecond);
    }
    const double elapsed = Core::secondsBetween(started, Core::Clock::now());
    const double subscriberChanges = static_cast<double>(subscribers) * changes;
    output << "in force on " << subscribers << " subscribers, " << changes << " changes: median " << std::fixed << std::setprecision(1)
           << quantile(milliseconds, 0.5) << " ms, p95 " << quantile(milliseconds, 0.95) << " ms, largest " << quantile(milliseconds, 1) << " ms; "
           << static_cast<double>(bytesReceived(agents) - bytesBefore) / subscriberChanges << " bytes and "
           << (processorSeconds() - processorBefore) * 1e6 / subscriberChanges << " us of processor a subscriber and change (" << elapsed << " s in all)\n";
    for (const std::unique_ptr<Process> &agent : agents) {
        agent->m_subscriber.stop();
        agent->m_node.stop();
    }
}

}
