/// @file oriolerail-soak: runs random fault schedules, one for each seed, until one violates a guarantee.

#include "LibScenario/RandomScript.h"
#include "LibScenario/Runner.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

}

int main(int argc, char **argv)
{
    cxxopts::Options options("oriolerail-soak", "Runs random schedules of faults, one for each seed, until one breaks a promise.");
    cxxopts::OptionAdder add = options.add_options();
    add("help", "show this text");
    add("seed", "seed of the first round", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("rounds", "rounds; each takes the next seed", cxxopts::value<std::uint64_t>()->default_value("3"));
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help() << std::endl;
            return ExitOk;
        }
        const std::string programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
        const std::uint64_t first = arguments["seed"].as<std::uint64_t>();
        for (std::uint64_t seed = first; seed < first + arguments["rounds"].as<std::uint64_t>(); ++seed) {
            Scenario::Runner runner(Scenario::randomScript(seed), programs, std::cout);
            const Core::Result<void> result = runner.run();
            std::cout << "seed " << seed << (result ? " passed" : " FAILED: ") << (result ? "" : result.error().message()) << std::endl;
            if (!result) {
                return ExitFailed;
            }
        }
        return ExitOk;
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "oriolerail-soak: " << exception.what() << "; see --help" << std::endl;
        return ExitUsage;
    }
}
