/// @file oriolerail-load: sends requests with deadlines and idempotency keys, and checks every answer.

#include "Arguments.h"

#include "LibLoad/Trace.h"
#include "LibStandIn/Program.h"

#include <csignal>
#include <fstream>
#include <iostream>

namespace {

/// Writes a line for each request to the CSV file and the trace, if they are configured.
class Recorder
{
public:
    static Core::Result<std::unique_ptr<Recorder>> open(const Arguments &arguments)
    {
        std::unique_ptr<Recorder> recorder = std::make_unique<Recorder>();
        BOOST_OUTCOME_TRYV(openFile(recorder->m_csv, arguments.m_csvFile));
        BOOST_OUTCOME_TRYV(openFile(recorder->m_trace, arguments.m_recordFile));
        recorder->m_csv << Load::csvHeader();
        return recorder;
    }

    void add(const Load::Request &request, const Load::Observation &observation)
    {
        if (m_csv.is_open()) {
            m_csv << Load::csvRow(request, observation);
        }
        if (m_trace.is_open()) {
            m_trace << Load::traceLine(request, observation);
        }
    }

private:
    static Core::Result<void> openFile(std::ofstream &file, const std::string &path)
    {
        if (path.empty()) {
            return Core::success();
        }
        file.open(path);
        if (!file) {
            return Core::makeError(Core::ErrorCode::InvalidInput, "open file", path, "it cannot be written");
        }
        return Core::success();
    }

    std::ofstream m_csv;
    std::ofstream m_trace;
};

Core::Result<Load::NextRequest> makeSource(const Arguments &arguments)
{
    if (arguments.m_replayFile.empty()) {
        const std::shared_ptr<Load::RequestSource> source = std::make_shared<Load::RequestSource>(arguments.m_workload);
        return Load::NextRequest([source] { return source->next(); });
    }
    const std::shared_ptr<std::vector<Load::Request>> trace =
        std::make_shared<std::vector<Load::Request>>(BOOST_OUTCOME_TRYX(Load::readTrace(arguments.m_replayFile)));
    const std::shared_ptr<std::size_t> position = std::make_shared<std::size_t>(0);
    return Load::NextRequest([trace, position]() -> std::optional<Load::Request> {
        if (*position == trace->size()) {
            return std::nullopt;
        }
        return trace->at((*position)++);
    });
}

bool hasPassed(const Arguments &arguments, const Load::Report &report)
{
    const bool replays = !arguments.m_replayFile.empty();
    const bool failed = report.count(Load::Outcome::Failed) > arguments.m_allowedFailures;
    return report.count(Load::Outcome::Wrong) == 0 && report.unexpected() == 0 && (replays || !failed);
}

}

int main(int argumentCount, char **argumentValues)
{
    std::signal(SIGPIPE, SIG_IGN);
    const Core::Result<Arguments> arguments = parseArguments(argumentCount, argumentValues);
    if (!arguments) {
        std::cerr << "oriolerail-load: " << arguments.error().m_detail << '\n';
        return StandIn::ExitUsage;
    }
    if (arguments.value().m_printsHelp) {
        std::cout << arguments.value().m_help;
        return StandIn::ExitOk;
    }
    const Core::Result<Load::NextRequest> next = makeSource(arguments.value());
    const Core::Result<std::unique_ptr<Recorder>> recorder = Recorder::open(arguments.value());
    if (!next || !recorder) {
        std::cerr << "oriolerail-load: " << (!next ? next.error() : recorder.error()) << '\n';
        return StandIn::ExitUsage;
    }
    Load::Report report;
    Load::performLoad(arguments.value().m_run, next.value(), report, [&recorder](const Load::Request &request, const Load::Observation &observation) {
        recorder.value()->add(request, observation);
    });
    std::cout << (arguments.value().m_printsJson ? report.json() : report.text());
    return hasPassed(arguments.value(), report) ? StandIn::ExitOk : StandIn::ExitFailed;
}
