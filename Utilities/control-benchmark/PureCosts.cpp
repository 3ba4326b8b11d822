/// @file Implementation of the measurements without threads or sockets.

#include "PureCosts.h"
#include "LibControl/ApplyRecord.h"
#include "LibControl/MemberTable.h"
#include "LibControl/Planner.h"
#include "LibCore/Clock.h"
#include "LibCore/Random.h"
#include "LibWire/Pack.h"
#include "Samples.h"

#include <functional>
#include <iomanip>

namespace Benchmark {

namespace {

constexpr int Rounds = 15;

/// Returns the median duration of several rounds in milliseconds.
double medianMilliseconds(const std::function<void()> &work)
{
    constexpr double millisecondsPerSecond = 1000;
    std::vector<double> samples;
    for (int round = 0; round < Rounds; ++round) {
        const Core::Instant started = Core::Clock::now();
        work();
        samples.push_back(Core::secondsBetween(started, Core::Clock::now()) * millisecondsPerSecond);
    }
    std::sort(samples.begin(), samples.end());
    return samples[samples.size() / 2];
}

void printRow(std::ostream &output, const std::string &name, double value, const std::string &unit)
{
    output << std::left << std::setw(46) << name << std::right << std::setw(12) << std::fixed << std::setprecision(3) << value << " " << unit << "\n";
}

void applyNext(Control::ControlState &state, const std::string &body)
{
    Control::applyRecord(state, state.m_position + 1, body);
}

}

void measurePureCosts(int instances, std::ostream &output)
{
    constexpr double kibibyte = 1024;
    const std::vector<Protocol::Member> members = makeFleet(instances);
    Control::ControlState state;
    const std::string change = Control::encodeRecord(makePublishRecord(0, makeTemplate(instances, 'a')));
    applyNext(state, change);

    output << "fleet of " << instances << " instances, 10 accounts (medians of " << Rounds << " rounds)\n";
    printRow(output, "plan from nothing", medianMilliseconds([&state, &members] { Control::planService("drafting-models", state, members); }), "ms");
    const Control::Plan plan = Control::planService("drafting-models", state, members);
    const std::string planRecord = Control::encodeRecord(Control::Record{Core::randomIdentifier(), "entry", Control::PublishPlan{0, plan}});
    printRow(output, "fold of a template's record", medianMilliseconds([state, &change]() mutable { applyNext(state, change); }), "ms");
    printRow(output, "fold of a plan's record", medianMilliseconds([state, &planRecord]() mutable { applyNext(state, planRecord); }), "ms");
    applyNext(state, planRecord);
    printRow(output,
             "plan after one instance died",
             medianMilliseconds([&state, &members] { Control::planService("drafting-models", state, std::span<const Protocol::Member>(members).subspan(1)); }),
             "ms");
    printRow(output, "encoding of the state", medianMilliseconds([&state] { Control::encodeState(state); }), "ms");
    printRow(output, "template's record", static_cast<double>(change.size()) / kibibyte, "KiB");
    printRow(output, "plan's record", static_cast<double>(planRecord.size()) / kibibyte, "KiB");
    printRow(output, "state", static_cast<double>(Control::encodeState(state).size()) / kibibyte, "KiB");
    printRow(output, "members", static_cast<double>(Wire::pack(members).size()) / kibibyte, "KiB");
}

}
