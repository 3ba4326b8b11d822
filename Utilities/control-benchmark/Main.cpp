/// @file control-benchmark: measures the costs of the control state: applying records, planning, encoded sizes, and the time until a change is in force on many
/// subscribers.

#include "Propagation.h"
#include "PureCosts.h"

#include <cxxopts.hpp>
#include <glog/logging.h>
#include <iostream>

int main(int argumentCount, char **argumentValues)
{
    google::InitGoogleLogging("control-benchmark");
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    cxxopts::Options options("control-benchmark", "Measures the cost of control");
    options.add_options()("instances", "instances of the planned fleet", cxxopts::value<int>()->default_value("1700"));
    options.add_options()("subscribers", "subscribers in this process", cxxopts::value<std::vector<int>>()->default_value("16,64,200"));
    options.add_options()("changes", "changes that are published one after the other", cxxopts::value<int>()->default_value("20"));
    options.add_options()("help", "show this text");
    try {
        const cxxopts::ParseResult parsed = options.parse(argumentCount, argumentValues);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        Benchmark::measurePureCosts(parsed["instances"].as<int>(), std::cout);
        for (const int subscribers : parsed["subscribers"].as<std::vector<int>>()) {
            Benchmark::measurePropagation(subscribers, parsed["changes"].as<int>(), std::cout);
        }
        return 0;
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << "\n";
        return 2;
    }
}
