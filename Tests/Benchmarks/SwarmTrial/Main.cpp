/// @file swarm-trial: runs a burst between transfer managers in one process, each of which paces its own link. For quick comparisons of settings;
/// Meta/measure-burst runs the actual measurement.

#include "../../LibTransfer/ReplicaCluster.h"

#include "LibCore/Random.h"

#include <cxxopts.hpp>
#include <glog/logging.h>
#include <iomanip>
#include <iostream>

namespace {

constexpr std::uint64_t BytesPerKibibyte = 1 << 10;
constexpr std::uint64_t BytesPerMebibyte = 1 << 20;
constexpr int MillisecondsPerSample = 200;

struct TrialOptions
{
    std::size_t m_agents = 16;
    std::string m_strategy = "swarm";
    std::string m_policy = "bytes";
    std::uint64_t m_bytes = 8 * BytesPerMebibyte;
    std::uint64_t m_originBytesPerSecond = 2 * BytesPerMebibyte;
    std::uint32_t m_chunkBytes = 64 * BytesPerKibibyte;
    std::size_t m_killPercent = 0;
    bool m_verbose = false;
    Transfer::TransferSettings m_settings;
};

/// Applies the sizes and links of a typical fleet: 48 chunks, an origin with 15 Mbit/s and instances with 9.4 Mbit/s. Transfers are limited to the shares of
/// the instances' links that agents use for them.
void applyFleetShape(TrialOptions &trial)
{
    constexpr std::uint32_t chunks = 48;
    constexpr double bytesPerMegabit = 1e6 / 8;
    constexpr double instanceMegabits = 9.4;
    constexpr double originMegabits = 15;
    constexpr double uploadShare = 0.9;
    constexpr double downloadShare = 0.95;
    trial.m_chunkBytes = 48 * BytesPerKibibyte;
    trial.m_bytes = std::uint64_t{trial.m_chunkBytes} * chunks;
    trial.m_originBytesPerSecond = static_cast<std::uint64_t>(originMegabits * bytesPerMegabit);
    trial.m_settings.m_uploadBytesPerSecond = static_cast<std::uint64_t>(instanceMegabits * bytesPerMegabit * uploadShare);
    trial.m_settings.m_downloadBytesPerSecond = static_cast<std::uint64_t>(instanceMegabits * bytesPerMegabit * downloadShare);
    trial.m_settings.m_burstBytes = 16 * BytesPerKibibyte;
    trial.m_settings.m_concurrentPeerRequests = 3;
    trial.m_settings.m_uploadSlots = 1;
    trial.m_settings.m_queuedUploads = 4;
}

TrialOptions parseOptions(int argc, char **argv)
{
    cxxopts::Options options("swarm-trial", "A burst among transfer managers in one process");
    options.add_options()("agents", "", cxxopts::value<std::size_t>()->default_value("16"))(
        "strategy", "", cxxopts::value<std::string>()->default_value("swarm"))("policy", "", cxxopts::value<std::string>()->default_value("bytes"))(
        "mebibytes", "", cxxopts::value<std::uint64_t>()->default_value("8"))("kill", "", cxxopts::value<std::size_t>()->default_value("0"))(
        "slots", "", cxxopts::value<std::uint32_t>()->default_value("0"))("queue", "", cxxopts::value<std::uint32_t>()->default_value("0"))(
        "ahead", "", cxxopts::value<std::uint32_t>()->default_value("0"))("neighbours", "", cxxopts::value<std::uint32_t>()->default_value("0"))("verbose", "")(
        "shape",
        "mebibyte: links of 1 MiB/s; site: 2.3 MB over links of 9.4 Mbit/s, paced as agents pace them",
        cxxopts::value<std::string>()->default_value("mebibyte"));
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    TrialOptions trial;
    trial.m_agents = arguments["agents"].as<std::size_t>();
    trial.m_strategy = arguments["strategy"].as<std::string>();
    trial.m_policy = arguments["policy"].as<std::string>();
    trial.m_bytes = arguments["mebibytes"].as<std::uint64_t>() * BytesPerMebibyte;
    trial.m_killPercent = arguments["kill"].as<std::size_t>();
    trial.m_verbose = arguments.count("verbose") > 0;
    trial.m_settings.m_uploadBytesPerSecond = BytesPerMebibyte;
    trial.m_settings.m_downloadBytesPerSecond = BytesPerMebibyte;
    if (arguments["shape"].as<std::string>() == "site") {
        applyFleetShape(trial);
    }
    for (const Transfer::Strategy strategy : {Transfer::Strategy::Swarm, Transfer::Strategy::Origin, Transfer::Strategy::Tree}) {
        if (Transfer::strategyName(strategy) == trial.m_strategy) {
            trial.m_settings.m_strategy = strategy;
        }
    }
    const auto overrideIfSet = [&arguments](const std::string &name, std::uint32_t &field) {
        const std::uint32_t value = arguments[name].as<std::uint32_t>();
        field = value > 0 ? value : field;
    };
    overrideIfSet("slots", trial.m_settings.m_uploadSlots);
    overrideIfSet("queue", trial.m_settings.m_queuedUploads);
    overrideIfSet("ahead", trial.m_settings.m_concurrentPeerRequests);
    overrideIfSet("neighbours", trial.m_settings.m_neighbours);
    return trial;
}

std::size_t countWithManifest(TransferTest::ReplicaCluster &replicas)
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < replicas.size(); ++index) {
        const Transfer::TransferManager *manager = replicas.at(index).m_manager.get();
        const std::vector<Protocol::TransferProgress> progress = manager ? manager->progress() : std::vector<Protocol::TransferProgress>();
        count += !progress.empty() && progress.front().m_chunksTotal > 0 ? 1 : 0;
    }
    return count;
}

void run(const TrialOptions &options)
{
    const std::uint64_t bytes = options.m_bytes;
    StandIn::OriginSettings origin;
    origin.m_bytesPerSecond = options.m_originBytesPerSecond;
    origin.m_chunkBytes = options.m_chunkBytes;
    origin.m_objects.push_back(StandIn::ObjectRecipe{"drafts", "1", bytes, 1, 0, 100});
    TransferTest::ReplicaCluster replicas(origin);
    const std::vector<std::string> regions = {"hcm", "hanoi", "danang"};
    for (std::size_t index = 0; index < options.m_agents; ++index) {
        replicas.addReplica(regions[index % regions.size()]);
        replicas.start(index, options.m_settings);
    }
    Control::Deployment deployment = replicas.deployment("drafts", "1");
    deployment.m_policy = options.m_policy == "time" ? Control::BurstPolicy::Time : Control::BurstPolicy::OriginBytes;
    deployment.m_originCopies = options.m_policy == "time" ? 4 : 1;
    const Core::Instant start = Core::Clock::now();
    replicas.setTargets({deployment});
    const std::size_t killed = options.m_agents * options.m_killPercent / 100;
    const double bound = static_cast<double>(bytes) / static_cast<double>(options.m_settings.m_downloadBytesPerSecond);
    bool isKilled = false;
    Core::Instant nextSample = start;
    while (replicas.countHolders(deployment.m_digest) < options.m_agents - (isKilled ? killed : 0)) {
        const double seconds = Core::secondsBetween(start, Core::Clock::now());
        if (!isKilled && killed > 0 && seconds > bound / 3) {
            isKilled = true;
            for (std::size_t index = 0; index < killed; ++index) {
                replicas.at(index * options.m_agents / killed).stop();
                replicas.at(index * options.m_agents / killed).m_manager.reset();
            }
        }
        if (options.m_verbose && Core::Clock::now() >= nextSample) {
            nextSample += std::chrono::milliseconds(MillisecondsPerSample);
            std::cout << std::fixed << std::setprecision(2) << seconds << "s up_MiB=" << replicas.counterTotal("transfer_bytes_uploaded_total") / 1048576.0
                      << " origin_MiB=" << replicas.counterTotal("transfer_bytes_from_origin_total") / 1048576.0 << " know=" << countWithManifest(replicas)
                      << " whole=" << replicas.countHolders(deployment.m_digest) << " refused=" << replicas.counterTotal("transfer_uploads_refused_total")
                      << "\n";
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    const double seconds = Core::secondsBetween(start, Core::Clock::now());
    std::cout << "agents=" << options.m_agents << " policy=" << options.m_policy << " strategy=" << options.m_strategy << std::fixed << std::setprecision(2)
              << " time_s=" << seconds << " bound_s=" << bound << " ratio=" << seconds / bound
              << " origin_copies=" << static_cast<double>(replicas.counterTotal("transfer_bytes_from_origin_total")) / static_cast<double>(bytes)
              << " region_copies=" << static_cast<double>(replicas.counterTotal("transfer_bytes_across_regions_total")) / static_cast<double>(bytes)
              << " from_peers=" << static_cast<double>(replicas.counterTotal("transfer_bytes_from_peers_total")) / static_cast<double>(bytes)
              << " refused=" << replicas.counterTotal("transfer_uploads_refused_total") << " twice=" << replicas.counterTotal("transfer_chunks_twice_total")
              << "\n";
    if (options.m_verbose) {
        replicas.at(1).m_manager->dump()->stringify(std::cout, 2);
    }
    std::cout.flush();
    std::_Exit(0);
}

}

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_minloglevel = google::GLOG_WARNING;
    FLAGS_logtostderr = true;
    run(parseOptions(argc, argv));
}
