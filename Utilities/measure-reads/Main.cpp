/// @file measure-reads: compares ways of finding out that a waiting read of the log is dead, in emulated fleets of several sizes. Prints CSV.

#include "LibEmulator/ReadEmulator.h"

#include <array>
#include <cxxopts.hpp>
#include <iostream>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitUsage = 2;

struct Size
{
    std::size_t m_entries;
    std::size_t m_failureDomains;
};

struct Detection
{
    const char *m_name;
    Emulator::ReadDetection m_detection;
    Core::Duration m_waitLimit;
};

struct Situation
{
    const char *m_name;
    Emulator::PathFault m_fault;
    Core::Duration m_length;
    bool m_isLocal;
};

constexpr std::array<Size, 4> Sizes{{{12, 3}, {52, 3}, {150, 5}, {400, 8}}};

constexpr std::array<Detection, 7> Detections{{{"own limit, 12 s", Emulator::ReadDetection::OwnLimit, Core::Duration(12000)},
                                               {"short wait", Emulator::ReadDetection::ShortWait, Core::Duration(12000)},
                                               {"short wait after loss", Emulator::ReadDetection::ShortWaitAfterLoss, Core::Duration(12000)},
                                               {"keep-alive", Emulator::ReadDetection::KeepAlive, Core::Duration(12000)},
                                               {"other calls", Emulator::ReadDetection::OtherCalls, Core::Duration(12000)},
                                               {"confirmations, 12 s", Emulator::ReadDetection::Confirmations, Core::Duration(12000)},
                                               {"confirmations, 25 s", Emulator::ReadDetection::Confirmations, Core::Duration(25000)}}};

constexpr std::array<Situation, 15> Situations{{{"quiet", Emulator::PathFault::None, Core::Duration(0), false},
                                                {"cut 1 s", Emulator::PathFault::Cut, Core::Duration(1000), false},
                                                {"cut 4.5 s", Emulator::PathFault::Cut, Core::Duration(4500), false},
                                                {"cut 10 s", Emulator::PathFault::Cut, Core::Duration(10000), false},
                                                {"cut 30 s", Emulator::PathFault::Cut, Core::Duration(30000), false},
                                                {"cut 4.5 s of one domain", Emulator::PathFault::Cut, Core::Duration(4500), true},
                                                {"silence 1 s", Emulator::PathFault::Silence, Core::Duration(1000), false},
                                                {"silence 4.5 s", Emulator::PathFault::Silence, Core::Duration(4500), false},
                                                {"silence 10 s", Emulator::PathFault::Silence, Core::Duration(10000), false},
                                                {"silence 30 s", Emulator::PathFault::Silence, Core::Duration(30000), false},
                                                {"reset, cut 1 s", Emulator::PathFault::CutWithReset, Core::Duration(1000), false},
                                                {"reset, cut 4.5 s", Emulator::PathFault::CutWithReset, Core::Duration(4500), false},
                                                {"reset, cut 10 s", Emulator::PathFault::CutWithReset, Core::Duration(10000), false},
                                                {"reset, cut 30 s", Emulator::PathFault::CutWithReset, Core::Duration(30000), false},
                                                {"open connections", Emulator::PathFault::OpenConnections, Core::Duration(0), false}}};

void measure(const Size &size, const Detection &detection, const Situation &situation, std::uint64_t seeds)
{
    Emulator::ReadOutcome worst;
    double calls = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Emulator::ReadExperiment experiment;
        experiment.m_entries = size.m_entries;
        experiment.m_failureDomains = size.m_failureDomains;
        experiment.m_detection = detection.m_detection;
        experiment.m_waitLimit = detection.m_waitLimit;
        experiment.m_fault = situation.m_fault;
        experiment.m_isLocal = situation.m_isLocal;
        experiment.m_cutLength = situation.m_length;
        experiment.m_seed = seed;
        const Emulator::ReadOutcome outcome = Emulator::play(experiment);
        calls += outcome.m_callsPerSecond / static_cast<double>(seeds);
        worst.m_recovery = std::max(worst.m_recovery, outcome.m_recovery);
        worst.m_largestAge = std::max(worst.m_largestAge, outcome.m_largestAge);
        worst.m_heartbeatBytesPerSecond = std::max(worst.m_heartbeatBytesPerSecond, outcome.m_heartbeatBytesPerSecond);
    }
    std::cout << size.m_entries << ",\"" << detection.m_name << "\",\"" << situation.m_name << "\"," << calls << "," << worst.m_recovery.count() << ","
              << worst.m_largestAge.count() << "," << worst.m_heartbeatBytesPerSecond << std::endl;
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("measure-reads", "Compares ways of finding out that a waiting read of the log is dead, in emulated fleets.");
    cxxopts::OptionAdder add = options.add_options();
    add("help", "show this text");
    add("seeds", "number of seeds of each experiment", cxxopts::value<std::uint64_t>()->default_value("5"));
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help() << std::endl;
            return ExitOk;
        }
        std::cout << "entries,detection,situation,calls_per_second,worst_recovery_ms,largest_age_ms,confirmation_bytes_per_second" << std::endl;
        for (const Size &size : Sizes) {
            for (const Detection &detection : Detections) {
                for (const Situation &situation : Situations) {
                    measure(size, detection, situation, arguments["seeds"].as<std::uint64_t>());
                }
            }
        }
        return ExitOk;
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "measure-reads: " << exception.what() << "; see --help" << std::endl;
        return ExitUsage;
    }
}
