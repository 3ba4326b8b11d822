/// @file burst-bench: measures one burst with real processes and shaped links. Started by Meta/measure-burst.

#include "BurstRun.h"
#include "Plot.h"

#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

constexpr double Quarter = 0.25;

double servingAt(const std::vector<double> &seconds, double share)
{
    if (seconds.empty()) {
        return 0;
    }
    const std::size_t index = static_cast<std::size_t>(share * static_cast<double>(seconds.size()));
    return seconds[std::min(index, seconds.size() - 1)];
}

void printTable(const Burst::Figures &figures)
{
    std::cout << std::fixed << std::setprecision(2) << "serving       seconds  of the bound\n";
    for (int step = 0; step <= 4; ++step) {
        const double seconds = servingAt(figures.m_servingSeconds, step * Quarter);
        std::cout << std::setw(6) << step * 25 << " %  " << std::setw(10) << seconds << std::setw(14) << seconds / figures.m_boundSeconds << "\n";
    }
    std::cout << "processor seconds of all agents " << figures.m_processorSeconds << "\n";
}

void printLine(const Burst::Options &options, const Burst::Figures &figures)
{
    const double time = figures.m_servingSeconds.empty() ? 0 : figures.m_servingSeconds.back();
    std::ostringstream live;
    live << std::fixed << std::setprecision(2);
    if (figures.m_hasLoad) {
        live << " live_failed=" << figures.m_burstLoad.m_failed << " live_p99_ratio=" << figures.m_burstLoad.m_p99Ms / figures.m_baselineLoad.m_p99Ms
             << " live_sent=" << figures.m_burstLoad.m_sent;
    } else {
        live << " live_failed=- live_p99_ratio=-";
    }
    std::cout << std::fixed << std::setprecision(2) << "agents=" << options.m_agents << " policy=" << options.m_policy << " strategy=" << options.m_strategy
              << " time_s=" << time << " bound_s=" << figures.m_boundSeconds << " ratio=" << time / figures.m_boundSeconds
              << " origin_copies=" << figures.m_originCopies << " region_copies=" << figures.m_regionCopies << live.str()
              << " serving=" << figures.m_servingSeconds.size() << "/" << figures.m_expected << " kill=" << options.m_killPercent
              << " corrupt=" << options.m_corruptPercent << " stall=" << options.m_stallPercent << " mebibytes=" << options.m_mebibytes
              << " link_kib=" << options.m_linkKibibytes << " chunk_kib=" << options.m_chunkKibibytes << "\n";
}

}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::optional<Burst::Options> options = Burst::parseOptions(argc, argv);
    if (!options) {
        return 2;
    }
    Burst::Run run(*options);
    const Core::Result<Burst::Figures> figures = run.perform();
    if (!figures) {
        std::cerr << figures.error() << "\n";
        return 1;
    }
    printTable(figures.value());
    printLine(*options, figures.value());
    if (!options->m_plotFile.empty()) {
        std::ofstream(options->m_plotFile) << Burst::drawPlot(*options, figures.value());
    }
    return figures.value().m_servingSeconds.size() == figures.value().m_expected ? 0 : 1;
}
