/// @file The command line of burst-bench.

#include "BurstOptions.h"

#include <cxxopts.hpp>
#include <iostream>

namespace Burst {

std::optional<Options> parseOptions(int argc, char **argv)
{
    const Options defaults;
    cxxopts::Options options("burst-bench", "Measures the time until N replicas serve new weights, with real processes");
    options.add_options()("programs", "directory of the binaries", cxxopts::value<std::string>())(
        "agents", "replicas", cxxopts::value<int>()->default_value(std::to_string(defaults.m_agents)))(
        "policy", "bytes or time", cxxopts::value<std::string>()->default_value(defaults.m_policy))(
        "strategy", "swarm, origin or tree", cxxopts::value<std::string>()->default_value(defaults.m_strategy))(
        "mebibytes", "size of the weights in MiB", cxxopts::value<std::uint64_t>()->default_value(std::to_string(defaults.m_mebibytes)))(
        "link",
        "KiB per second of an instance's link; other links are scaled in proportion",
        cxxopts::value<std::uint64_t>()->default_value(std::to_string(defaults.m_linkKibibytes)))(
        "chunk", "size of a chunk in KiB", cxxopts::value<std::uint32_t>()->default_value(std::to_string(defaults.m_chunkKibibytes)))(
        "kill", "percent of the agents killed after a third of the bound", cxxopts::value<int>()->default_value("0"))(
        "corrupt", "percent of the origin's answers damaged", cxxopts::value<int>()->default_value("0"))(
        "stall", "percent of the agents frozen after a third of the bound", cxxopts::value<int>()->default_value("0"))(
        "down-after-copies", "the origin goes down after this many copies", cxxopts::value<double>()->default_value("0"))(
        "live", "requests per second during the burst", cxxopts::value<double>()->default_value("0"))(
        "patience", "timeout of the run in seconds", cxxopts::value<double>()->default_value("300"))(
        "plot", "SVG of serving replicas over time", cxxopts::value<std::string>()->default_value(""))(
        "keep", "directory for the logs and dumps of the processes", cxxopts::value<std::string>()->default_value(""))(
        "direct", "without the gateway that shapes links")("help", "print this text");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed.count("programs") == 0) {
            std::cout << options.help();
            return std::nullopt;
        }
        Options run;
        run.m_programs = parsed["programs"].as<std::string>();
        run.m_agents = parsed["agents"].as<int>();
        run.m_policy = parsed["policy"].as<std::string>();
        run.m_strategy = parsed["strategy"].as<std::string>();
        run.m_mebibytes = parsed["mebibytes"].as<std::uint64_t>();
        run.m_linkKibibytes = parsed["link"].as<std::uint64_t>();
        run.m_chunkKibibytes = parsed["chunk"].as<std::uint32_t>();
        run.m_killPercent = parsed["kill"].as<int>();
        run.m_corruptPercent = parsed["corrupt"].as<int>();
        run.m_stallPercent = parsed["stall"].as<int>();
        run.m_downAfterCopies = parsed["down-after-copies"].as<double>();
        run.m_liveRate = parsed["live"].as<double>();
        run.m_timeoutSeconds = parsed["patience"].as<double>();
        run.m_plotFile = parsed["plot"].as<std::string>();
        run.m_keepDirectory = parsed["keep"].as<std::string>();
        run.m_isDirect = parsed.count("direct") > 0;
        return run;
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << "\n";
        return std::nullopt;
    }
}

}
