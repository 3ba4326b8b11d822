/// @file oriolerail-capacity: measures the resource usage of processes at several fleet sizes and fits a line to it.

#include "LibBench/LinearFit.h"
#include "Trial.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

/// Name of an axis on the command line.
struct AxisName
{
    const char *m_name;
    Capacity::Axis m_axis;
};

constexpr std::array<AxisName, 5> AxisNames = {{
    {"agents", Capacity::Axis::Agents},
    {"entries", Capacity::Axis::Entries},
    {"accounts", Capacity::Axis::Accounts},
    {"changes", Capacity::Axis::Changes},
    {"requests", Capacity::Axis::Requests},
}};

/// A measured quantity of a trial and how to read it from a result.
struct Quantity
{
    const char *m_name;
    double (*m_read)(const Capacity::TrialResult &);
};

constexpr double Percent = 100;
constexpr double Mebibyte = 1 << 20;

const std::array<Quantity, 11> Quantities = {{
    {"entry_core_percent", [](const Capacity::TrialResult &result) { return result.m_entry.m_processorShare * Percent; }},
    {"entry_resident_mib", [](const Capacity::TrialResult &result) { return result.m_entry.m_residentBytes / Mebibyte; }},
    {"entry_control_bytes_s", [](const Capacity::TrialResult &result) { return result.m_entry.m_controlBytesPerSecond; }},
    {"entry_control_frames_s", [](const Capacity::TrialResult &result) { return result.m_entry.m_controlFramesPerSecond; }},
    {"entry_live_bytes_s", [](const Capacity::TrialResult &result) { return result.m_entry.m_liveBytesPerSecond; }},
    {"agent_core_percent", [](const Capacity::TrialResult &result) { return result.m_agent.m_processorShare * Percent; }},
    {"agent_resident_mib", [](const Capacity::TrialResult &result) { return result.m_agent.m_residentBytes / Mebibyte; }},
    {"agent_control_bytes_s", [](const Capacity::TrialResult &result) { return result.m_agent.m_controlBytesPerSecond; }},
    {"agent_control_frames_s", [](const Capacity::TrialResult &result) { return result.m_agent.m_controlFramesPerSecond; }},
    {"agent_live_bytes_s", [](const Capacity::TrialResult &result) { return result.m_agent.m_liveBytesPerSecond; }},
    {"log_appends_s", [](const Capacity::TrialResult &result) { return result.m_logAppendsPerSecond; }},
}};

/// Result of the trial with one value of the axis.
struct MeasuredPoint
{
    int m_value = 0;
    Capacity::TrialResult m_result;
};

void printTable(const std::string &axis, const std::vector<MeasuredPoint> &points)
{
    std::cout << std::fixed << std::setprecision(2) << std::left << std::setw(26) << axis << std::right;
    for (const MeasuredPoint &point : points) {
        std::cout << std::setw(12) << point.m_value;
    }
    std::cout << std::setw(14) << "intercept" << std::setw(12) << "slope" << std::setw(12) << "residual"
              << "\n";
    for (const Quantity &quantity : Quantities) {
        std::vector<Bench::Point> line;
        std::cout << std::left << std::setw(26) << quantity.m_name << std::right << std::setprecision(2);
        for (const MeasuredPoint &point : points) {
            const double value = quantity.m_read(point.m_result);
            line.push_back(Bench::Point{static_cast<double>(point.m_value), value});
            std::cout << std::setw(12) << value;
        }
        const Bench::LinearFit fit = Bench::fitLine(line);
        std::cout << std::setw(14) << fit.m_intercept << std::setprecision(4) << std::setw(12) << fit.m_slope << std::setprecision(2) << std::setw(12)
                  << fit.m_largestResidual << "\n";
    }
}

void writeCsv(const std::string &file, const std::string &axis, const std::vector<MeasuredPoint> &points)
{
    std::ofstream csv(file);
    csv << axis;
    for (const Quantity &quantity : Quantities) {
        csv << "," << quantity.m_name;
    }
    csv << "\n";
    for (const MeasuredPoint &point : points) {
        csv << point.m_value;
        for (const Quantity &quantity : Quantities) {
            csv << "," << quantity.m_read(point.m_result);
        }
        csv << "\n";
    }
}

int measure(const AxisName &axis, const cxxopts::ParseResult &arguments)
{
    Capacity::TrialSize base;
    base.m_agents = arguments["agents"].as<int>();
    base.m_entries = arguments["entries"].as<int>();
    const int seconds = arguments["seconds"].as<int>();
    const std::string programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    std::vector<MeasuredPoint> points;
    for (const int value : arguments["sizes"].as<std::vector<int>>()) {
        std::cerr << axis.m_name << " = " << value << std::endl;
        const Core::Result<Capacity::TrialResult> result = Capacity::runTrial(Capacity::withAxisValue(axis.m_axis, value, base), seconds, programs);
        if (!result) {
            std::cerr << "oriolerail-capacity: " << result.error() << std::endl;
            return ExitFailed;
        }
        points.push_back(MeasuredPoint{value, result.value()});
    }
    printTable(axis.m_name, points);
    if (arguments.count("csv") > 0) {
        writeCsv(arguments["csv"].as<std::string>(), axis.m_name, points);
    }
    return ExitOk;
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("oriolerail-capacity", "Measures what processes use for themselves at several sizes and fits a line through it.");
    options.add_options()("help",
                          "show this text")("axis", "agents, entries, accounts, changes (a minute) or requests (a second)", cxxopts::value<std::string>())(
        "sizes", "values of the axis", cxxopts::value<std::vector<int>>())("agents", "agents on other axes", cxxopts::value<int>()->default_value("20"))(
        "entries", "entries on other axes", cxxopts::value<int>()->default_value("3"))(
        "seconds", "time of each sample", cxxopts::value<int>()->default_value("10"))("csv", "file for the values", cxxopts::value<std::string>());
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help() << std::endl;
            return ExitOk;
        }
        for (const AxisName &axis : AxisNames) {
            if (arguments.count("axis") > 0 && arguments.count("sizes") > 0 && arguments["axis"].as<std::string>() == axis.m_name) {
                return measure(axis, arguments);
            }
        }
        std::cerr << "oriolerail-capacity: expected --axis and --sizes; see --help" << std::endl;
        return ExitUsage;
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "oriolerail-capacity: " << exception.what() << "; see --help" << std::endl;
        return ExitUsage;
    }
}
