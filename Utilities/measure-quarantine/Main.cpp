/// @file measure-quarantine: compares ways of telling the parts of prompts and the requests under which engines end, in emulated fleets of several sizes.

#include "LibEmulator/QuarantineEmulator.h"

#include <cxxopts.hpp>
#include <iostream>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitUsage = 2;

struct Variant
{
    std::string m_name;
    std::function<void(Emulator::QuarantineExperiment &experiment)> m_apply;
};

std::vector<Variant> rules()
{
    return {{"nothing",
             [](Emulator::QuarantineExperiment &experiment) {
                 experiment.m_decide = [](const std::vector<Quarantine::Suspect> &, Core::Instant, const Quarantine::DecisionSettings &) {
                     return std::vector<Quarantine::PromptPart>();
                 };
                 experiment.m_settings.m_decision.m_settleTime = Core::Duration(0);
                 experiment.m_settings.m_holdTime = Core::Duration(0);
                 experiment.m_settings.m_trialTime = Core::Duration(0);
             }},
            {"each entry alone", [](Emulator::QuarantineExperiment &experiment) { experiment.m_exchanges = false; }},
            {"count, no acquittal",
             [](Emulator::QuarantineExperiment &experiment) {
                 experiment.m_decide = Emulator::blameByCount;
                 experiment.m_acquits = false;
             }},
            {"count", [](Emulator::QuarantineExperiment &experiment) { experiment.m_decide = Emulator::blameByCount; }},
            {"share", [](Emulator::QuarantineExperiment &experiment) { experiment.m_decide = Emulator::blameByShare; }},
            {"no hold", [](Emulator::QuarantineExperiment &experiment) { experiment.m_settings.m_holdTime = Core::Duration(0); }},
            {"decision at once",
             [](Emulator::QuarantineExperiment &experiment) {
                 experiment.m_settings.m_decision.m_settleTime = Core::Duration(0);
                 experiment.m_settings.m_decision.m_propagationTime = Core::Duration(0);
                 experiment.m_settings.m_decision.m_neededCompletions = 0;
             }},
            {"explained crashes", [](Emulator::QuarantineExperiment &) {}}};
}

std::vector<Variant> situations()
{
    return {{"one part", [](Emulator::QuarantineExperiment &) {}},
            {"three parts", [](Emulator::QuarantineExperiment &experiment) { experiment.m_crashingParts = 3; }},
            {"twenty a second", [](Emulator::QuarantineExperiment &experiment) { experiment.m_crashingPerSecond = 20; }},
            {"from the start", [](Emulator::QuarantineExperiment &experiment) { experiment.m_begin = Core::Duration(0); }},
            {"power loss", [](Emulator::QuarantineExperiment &experiment) { experiment.m_powerLosses = {Core::Duration(7000)}; }},
            {"other crashes", [](Emulator::QuarantineExperiment &experiment) { experiment.m_otherCrashesPerSecond = 2; }},
            {"only others",
             [](Emulator::QuarantineExperiment &experiment) {
                 experiment.m_crashingPerSecond = 0;
                 experiment.m_otherCrashesPerSecond = 4;
                 experiment.m_powerLosses = {Core::Duration(7000)};
             }},
            {"entries restart", [](Emulator::QuarantineExperiment &experiment) { experiment.m_entriesRestart = Core::Duration(12000); }}};
}

std::vector<Variant> requestRules()
{
    return {{"nothing", [](Emulator::QuarantineExperiment &experiment) { experiment.m_settings.m_requests.m_maximumEnds = 1000; }},
            {"each entry alone", [](Emulator::QuarantineExperiment &experiment) { experiment.m_exchanges = false; }},
            {"no hold", [](Emulator::QuarantineExperiment &experiment) { experiment.m_settings.m_requests.m_propagationTime = Core::Duration(0); }},
            {"no common cause", [](Emulator::QuarantineExperiment &experiment) { experiment.m_settings.m_requests.m_commonCauseEnds = 1000; }},
            {"three ends", [](Emulator::QuarantineExperiment &) {}}};
}

/// Experiments with callers that repeat requests of their own under which engines end.
std::vector<Variant> requestSituations()
{
    return {{"one request", [](Emulator::QuarantineExperiment &experiment) { experiment.m_crashingCallers = 1; }},
            {"four requests", [](Emulator::QuarantineExperiment &experiment) { experiment.m_crashingCallers = 4; }},
            {"engines end at once",
             [](Emulator::QuarantineExperiment &experiment) {
                 experiment.m_crashingCallers = 1;
                 experiment.m_firstTokenTime = Core::Duration(0);
             }},
            {"one engine an attempt",
             [](Emulator::QuarantineExperiment &experiment) {
                 experiment.m_crashingCallers = 1;
                 experiment.m_maximumAttempts = 1;
             }},
            {"entries restart",
             [](Emulator::QuarantineExperiment &experiment) {
                 experiment.m_crashingCallers = 1;
                 experiment.m_entriesRestart = Core::Duration(12000);
             }},
            {"a fifth of the messages lost",
             [](Emulator::QuarantineExperiment &experiment) {
                 experiment.m_crashingCallers = 1;
                 experiment.m_lossShare = 0.2;
             }},
            {"with other crashes",
             [](Emulator::QuarantineExperiment &experiment) {
                 experiment.m_crashingCallers = 1;
                 experiment.m_otherCrashesPerSecond = 2;
             }},
            {"only power losses",
             [](Emulator::QuarantineExperiment &experiment) {
                 experiment.m_powerLosses = {Core::Duration(7000), Core::Duration(9500), Core::Duration(12000), Core::Duration(14500)};
             }},
            {"only other crashes and power losses", [](Emulator::QuarantineExperiment &experiment) {
                 experiment.m_otherCrashesPerSecond = 4;
                 experiment.m_powerLosses = {Core::Duration(7000), Core::Duration(9500), Core::Duration(12000)};
             }}};
}

/// Sizes of fleets: entries, engines and requests per second.
using Size = std::tuple<std::size_t, std::size_t, double>;
constexpr std::array<Size, 3> Sizes{{{12, 27, 200}, {150, 156, 1165}, {400, 600, 3400}}};
constexpr std::array<Size, 3> RequestSizes{{{12, 27, 200}, {87, 92, 700}, {400, 600, 3400}}};

void print(const std::string &rule, const std::string &situation, std::size_t entries, const std::vector<Emulator::QuarantineOutcome> &outcomes)
{
    Emulator::QuarantineOutcome sum;
    for (const Emulator::QuarantineOutcome &outcome : outcomes) {
        sum.m_crashes += outcome.m_crashes;
        sum.m_lateArrivals += outcome.m_lateArrivals;
        sum.m_soundRequests += outcome.m_soundRequests;
        sum.m_soundRefused += outcome.m_soundRefused;
        sum.m_soundHeld += outcome.m_soundHeld;
        sum.m_wronglyBlamed += outcome.m_wronglyBlamed;
        sum.m_bytesPerSecond = std::max(sum.m_bytesPerSecond, outcome.m_bytesPerSecond);
        sum.m_memoryBytes = std::max(sum.m_memoryBytes, outcome.m_memoryBytes);
    }
    const double runs = static_cast<double>(outcomes.size());
    const double thousands = static_cast<double>(sum.m_soundRequests) / 1000;
    std::printf("| %s | %zu | %s | %.1f | %.1f | %.2f | %.2f | %.1f | %.0f | %zu |\n",
                situation.c_str(),
                entries,
                rule.c_str(),
                static_cast<double>(sum.m_crashes) / runs,
                static_cast<double>(sum.m_lateArrivals) / runs,
                static_cast<double>(sum.m_soundRefused) / thousands,
                static_cast<double>(sum.m_soundHeld) / thousands,
                static_cast<double>(sum.m_wronglyBlamed) / runs,
                sum.m_bytesPerSecond,
                sum.m_memoryBytes / 1024);
    std::fflush(stdout);
}

void measure(std::size_t seeds, std::size_t largest, const std::string &wantedRule)
{
    std::puts("| situation | entries | rule | crashes | late requests | sound refused per 1,000 | sound held per 1,000 | parts wrongly blamed | bytes per s "
              "(most) | memory KB (most) |\n|---|---|---|---|---|---|---|---|---|---|");
    for (const Variant &situation : situations()) {
        for (const std::tuple<std::size_t, std::size_t, double> &size : Sizes) {
            for (const Variant &rule : rules()) {
                if (!wantedRule.empty() && rule.m_name != wantedRule) {
                    continue;
                }
                std::vector<Emulator::QuarantineOutcome> outcomes;
                for (std::uint64_t seed = 1; seed <= seeds && std::get<0>(size) <= largest; ++seed) {
                    Emulator::QuarantineExperiment experiment;
                    experiment.m_seed = seed;
                    std::tie(experiment.m_entries, experiment.m_engines, experiment.m_requestsPerSecond) = size;
                    situation.m_apply(experiment);
                    rule.m_apply(experiment);
                    outcomes.push_back(Emulator::play(experiment));
                }
                if (!outcomes.empty()) {
                    print(rule.m_name, situation.m_name, std::get<0>(size), outcomes);
                }
            }
        }
    }
}

void measureRequests(std::size_t seeds, std::size_t largest, const std::string &wantedRule)
{
    std::puts(
        "| situation | entries | rule | engines ended | after the third | sound refused as requests that end engines | sound requests | bytes per s (most) "
        "| memory KB (most) |\n|---|---|---|---|---|---|---|---|---|");
    for (const Variant &situation : requestSituations()) {
        for (const Size &size : RequestSizes) {
            for (const Variant &rule : requestRules()) {
                Emulator::QuarantineOutcome sum;
                const bool isWanted = std::get<0>(size) <= largest && (wantedRule.empty() || rule.m_name == wantedRule);
                for (std::uint64_t seed = 1; isWanted && seed <= seeds; ++seed) {
                    Emulator::QuarantineExperiment experiment;
                    experiment.m_seed = seed;
                    experiment.m_crashingPerSecond = 0;
                    experiment.m_callerAttempts = 3;
                    std::tie(experiment.m_entries, experiment.m_engines, experiment.m_requestsPerSecond) = size;
                    situation.m_apply(experiment);
                    rule.m_apply(experiment);
                    const Emulator::QuarantineOutcome outcome = Emulator::play(experiment);
                    sum.m_requestCrashes += outcome.m_requestCrashes;
                    sum.m_crashesAfterThird += outcome.m_crashesAfterThird;
                    sum.m_soundBlamed += outcome.m_soundBlamed;
                    sum.m_soundRequests += outcome.m_soundRequests;
                    sum.m_bytesPerSecond = std::max(sum.m_bytesPerSecond, outcome.m_bytesPerSecond);
                    sum.m_memoryBytes = std::max(sum.m_memoryBytes, outcome.m_memoryBytes);
                }
                if (isWanted) {
                    std::printf("| %s | %zu | %s | %zu | %zu | %zu | %zu | %.0f | %zu |\n",
                                situation.m_name.c_str(),
                                std::get<0>(size),
                                rule.m_name.c_str(),
                                sum.m_requestCrashes,
                                sum.m_crashesAfterThird,
                                sum.m_soundBlamed,
                                sum.m_soundRequests,
                                sum.m_bytesPerSecond,
                                sum.m_memoryBytes / 1024);
                    std::fflush(stdout);
                }
            }
        }
    }
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("measure-quarantine", "Compares ways of telling the parts of prompts and the requests under which engines end.");
    cxxopts::OptionAdder add = options.add_options();
    add("help", "show this text");
    add("seeds", "experiments for each row", cxxopts::value<std::size_t>()->default_value("3"));
    add("rule", "name of the only rule to measure", cxxopts::value<std::string>()->default_value(""));
    add("requests", "measure requests that their callers repeat, instead of parts");
    add("largest", "number of entries of the largest fleet", cxxopts::value<std::size_t>()->default_value("400"));
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help() << std::endl;
            return ExitOk;
        }
        const bool measuresRequests = arguments.count("requests") > 0;
        (measuresRequests ? measureRequests
                          : measure)(arguments["seeds"].as<std::size_t>(), arguments["largest"].as<std::size_t>(), arguments["rule"].as<std::string>());
        return ExitOk;
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "measure-quarantine: " << exception.what() << "; see --help" << std::endl;
        return ExitUsage;
    }
}
