/// @file oriolerail-scenario: runs scenario scripts against fleets of real processes.

#include "LibScenario/Runner.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

std::string directoryOfThisProgram()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

int runScript(const std::string &file, const std::string &programs, bool checkOnly)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    Scenario::Script script;
    const Settings::Problems problems = Scenario::readScript(content.str(), file, script);
    for (const Settings::Problem &problem : problems) {
        std::cerr << problem.message() << "\n";
    }
    if (!problems.empty()) {
        return ExitUsage;
    }
    if (checkOnly) {
        return ExitOk;
    }
    Scenario::Runner runner(script, programs, std::cout);
    const Core::Result<void> result = runner.run();
    if (!result) {
        std::cout << "scenario " << script.m_name << " FAILED: " << result.error() << std::endl;
        return ExitFailed;
    }
    std::cout << "scenario " << script.m_name << " passed" << std::endl;
    return ExitOk;
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("oriolerail-scenario", "Runs scripts of the test language against fleets of real processes.");
    options.add_options()("help", "show this text")("check", "only check the scripts")(
        "programs", "directory of the binaries", cxxopts::value<std::string>()->default_value(directoryOfThisProgram()))(
        "script", "script files", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"script"});
    options.positional_help("SCRIPT...");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help() << std::endl;
            return ExitOk;
        }
        if (arguments.count("script") == 0) {
            std::cerr << "oriolerail-scenario: no script given; see --help" << std::endl;
            return ExitUsage;
        }
        int worst = ExitOk;
        for (const std::string &file : arguments["script"].as<std::vector<std::string>>()) {
            worst = std::max(worst, runScript(file, arguments["programs"].as<std::string>(), arguments.count("check") > 0));
        }
        return worst;
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "oriolerail-scenario: " << exception.what() << "; see --help" << std::endl;
        return ExitUsage;
    }
}
