/// @file Implementation of a measured burst.

#include "BurstRun.h"

#include "LibBench/Http.h"
#include "LibWeights/Manifest.h"

#include <Poco/JSON/Parser.h>
#include <filesystem>
#include <fstream>
#include <glog/logging.h>
#include <iostream>
#include <sstream>
#include <thread>

namespace Burst {

namespace {

constexpr std::uint64_t BytesPerMebibyte = 1 << 20;
constexpr std::uint32_t BytesPerKibibyte = 1 << 10;
constexpr int Percent = 100;
constexpr Core::Duration PollInterval{100};
constexpr Core::Duration CommandTimeout{60000};
constexpr Core::Duration MembersTimeout{60000};
constexpr double BaselineSeconds = 10;
constexpr double BurstLoadSeconds = 20;
constexpr double FaultAtBoundShare = 1.0 / 3;
constexpr int ProbeThreads = 4;
constexpr Core::Duration IdleCheckInterval{1000};
constexpr int MaximumIdleChecks = 60;
constexpr std::uint64_t IdleBytesPerAgent = 2048; ///< The network counts as idle below this many bytes per agent and second between regions.

Core::Result<Poco::JSON::Object::Ptr> parseObject(const std::string &text, const std::string &step)
{
    try {
        Poco::JSON::Parser parser;
        return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Corrupt, step, "", exception.displayText());
    }
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Bench::Topology makeTopology(const Options &options)
{
    Bench::Topology topology = Bench::burstTopology(options.m_agents);
    topology.m_transferStrategy = options.m_strategy;
    topology.m_limitsLinks = !options.m_isDirect;
    topology.m_chunkBytes = options.m_chunkKibibytes * BytesPerKibibyte;
    const std::uint64_t link = options.m_linkKibibytes * BytesPerKibibyte;
    topology.m_links.m_origin = topology.m_links.m_origin * link / topology.m_links.m_instance;
    topology.m_links.m_regionPair = topology.m_links.m_regionPair * link / topology.m_links.m_instance;
    topology.m_links.m_instance = link;
    for (Bench::StoredVersion &version : topology.m_versions) {
        version.m_bytes = options.m_mebibytes * BytesPerMebibyte;
        version.m_changedPercent = Percent;
    }
    return topology;
}

}

Run::Run(Options options)
    : m_options(std::move(options))
{
}

Core::Result<void> Run::publish(const std::string &version)
{
    const std::string &model = m_fleet->topology().m_versions.front().m_model;
    const std::string path = m_fleet->directory() + "/template-" + version + ".yaml";
    std::ofstream(path) << "name: drafts\nservice: drafting-models\nkind: model\npolicy: " << m_options.m_policy
                        << "\norigin_copies: " << (m_options.m_policy == "time" ? 4 : 1) << "\naccounts:\n  - {account: garments, model: " << model
                        << ", version: \"" << version << "\", replicas: " << m_options.m_agents << "}\n";
    const Bench::Layout &layout = m_fleet->layout();
    const std::string log = m_fleet->directory() + "/publish-" + version + ".log";
    Bench::Process process = BOOST_OUTCOME_TRYX(
        Bench::Process::start(m_options.m_programs + "/oriolerail",
                              {"publish", path, "--operator", "bench", "--log", layout.m_log.toString(), "--origin", layout.m_origin.toString()},
                              log));
    const std::optional<int> code = process.wait(CommandTimeout);
    if (code != 0) {
        return Core::makeError(Core::ErrorCode::Unavailable, "publish version " + version, "", readFile(log));
    }
    return Core::success();
}

Core::Result<std::string> Run::contentDigest(const std::string &version)
{
    const std::string &model = m_fleet->topology().m_versions.front().m_model;
    const Core::Address &origin = m_fleet->layout().m_origin;
    const std::string encoded = BOOST_OUTCOME_TRYX(Bench::httpGet(origin, "/weights/" + model + "/" + version + "/manifest"));
    const Weights::Manifest manifest = BOOST_OUTCOME_TRYX(Weights::decodeManifest(encoded, origin.toString()));
    return manifest.m_contentDigest;
}

/// Waits until every entry knows every agent.
Core::Result<void> Run::awaitMembers()
{
    const std::size_t expected = m_fleet->ofKind(Bench::ProcessKind::Agent).size();
    const bool areMembersKnown = Bench::waitUntil(
        [this, expected] {
            for (const Bench::ProcessSpec *entry : m_fleet->ofKind(Bench::ProcessKind::Entry)) {
                const Core::Result<std::string> dump = Bench::httpGet(entry->m_admin, "/dump");
                std::size_t seen = 0;
                for (const Bench::ProcessSpec *agent : m_fleet->ofKind(Bench::ProcessKind::Agent)) {
                    seen += dump && dump.value().find("\"" + agent->m_instance + "\"") != std::string::npos ? 1 : 0;
                }
                if (seen < expected) {
                    return false;
                }
            }
            return true;
        },
        MembersTimeout);
    if (!areMembersKnown) {
        return Core::makeError(Core::ErrorCode::Timeout, "await members", "", "the entries do not know every agent");
    }
    return Core::success();
}

/// Waits until the initial traffic between members has ended, so that only the burst is measured.
void Run::awaitIdleNetwork()
{
    const auto total = [this] {
        std::uint64_t sum = 0;
        for (const std::pair<const std::string, std::uint64_t> &pair : regionBytes()) {
            sum += pair.second;
        }
        return sum;
    };
    std::uint64_t before = total();
    for (int check = 0; check < MaximumIdleChecks; ++check) {
        std::this_thread::sleep_for(IdleCheckInterval);
        const std::uint64_t now = total();
        if (now - before < IdleBytesPerAgent * static_cast<std::uint64_t>(m_options.m_agents)) {
            return;
        }
        before = now;
    }
    std::cerr << "the network did not become idle\n";
}

bool Run::serves(const Bench::ProcessSpec &engine, const std::string &contentDigest) const
{
    const Core::Result<std::string> body = Bench::httpGet(engine.m_health, "/status");
    if (!body) {
        return false;
    }
    const Core::Result<Poco::JSON::Object::Ptr> status = parseObject(body.value(), "read status");
    if (!status || !status.value()->isArray("models")) {
        return false;
    }
    const Poco::JSON::Array::Ptr models = status.value()->getArray("models");
    for (std::size_t index = 0; index < models->size(); ++index) {
        const Poco::JSON::Object::Ptr model = models->getObject(static_cast<unsigned>(index));
        if (model->optValue<std::string>("digest", "") == contentDigest && model->optValue<std::string>("state", "") == "serving") {
            return true;
        }
    }
    return false;
}

void Run::injectFaults()
{
    const std::vector<const Bench::ProcessSpec *> agents = m_fleet->ofKind(Bench::ProcessKind::Agent);
    const std::size_t killed = agents.size() * static_cast<std::size_t>(m_options.m_killPercent) / Percent;
    const std::size_t frozen = agents.size() * static_cast<std::size_t>(m_options.m_stallPercent) / Percent;
    for (std::size_t index = 0; index < killed + frozen; ++index) {
        const Bench::ProcessSpec &agent = *agents[index * agents.size() / (killed + frozen)];
        m_faultyInstances.insert(agent.m_instance);
        const Core::Result<void> result = index < killed ? m_fleet->kill(agent.m_name) : m_fleet->freeze(agent.m_name);
        if (!result) {
            std::cerr << result.error() << "\n";
        }
    }
}

void Run::awaitServing(const std::string &contentDigest, Figures &figures, bool hasFaults)
{
    struct Waiting
    {
        const Bench::ProcessSpec *m_engine = nullptr;
        std::string m_instance;
        std::optional<double> m_seconds;
    };
    std::vector<Waiting> all;
    for (const Bench::ProcessSpec *engine : m_fleet->ofKind(Bench::ProcessKind::Engine)) {
        all.push_back(Waiting{engine, engine->m_name.substr(engine->m_name.find(':') + 1), {}});
    }
    bool areFaultsInjected = !hasFaults;
    const auto elapsed = [this] { return Core::secondsBetween(m_publishedAt, Core::Clock::now()); };
    while (elapsed() < m_options.m_timeoutSeconds) {
        if (!areFaultsInjected && elapsed() >= figures.m_boundSeconds * FaultAtBoundShare) {
            areFaultsInjected = true;
            injectFaults();
        }
        std::vector<std::thread> threads;
        for (int thread = 0; thread < ProbeThreads; ++thread) {
            threads.emplace_back([this, thread, &all, &contentDigest, &elapsed] {
                for (std::size_t index = static_cast<std::size_t>(thread); index < all.size(); index += ProbeThreads) {
                    Waiting &waiting = all[index];
                    if (!waiting.m_seconds && !m_faultyInstances.contains(waiting.m_instance) && serves(*waiting.m_engine, contentDigest)) {
                        waiting.m_seconds = elapsed();
                    }
                }
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        const bool isDone =
            std::all_of(all.begin(), all.end(), [this](const Waiting &waiting) { return waiting.m_seconds || m_faultyInstances.contains(waiting.m_instance); });
        if (isDone && areFaultsInjected) {
            break;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    figures.m_expected = all.size() - m_faultyInstances.size();
    for (const Waiting &waiting : all) {
        if (waiting.m_seconds && !m_faultyInstances.contains(waiting.m_instance)) {
            figures.m_servingSeconds.push_back(*waiting.m_seconds);
        }
    }
    std::sort(figures.m_servingSeconds.begin(), figures.m_servingSeconds.end());
}

Core::Result<Bench::Process> Run::startLoad(double seconds, const std::string &name)
{
    std::string entries;
    for (const Bench::ProcessSpec *entry : m_fleet->ofKind(Bench::ProcessKind::Entry)) {
        entries += (entries.empty() ? "" : ",") + entry->m_callers.toString();
    }
    return Bench::Process::start(m_options.m_programs + "/oriolerail-load",
                                 {"--entries",
                                  entries,
                                  "--template",
                                  "drafts",
                                  "--accounts",
                                  "garments",
                                  "--rate",
                                  std::to_string(m_options.m_liveRate),
                                  "--seconds",
                                  std::to_string(seconds),
                                  "--output",
                                  "json"},
                                 m_fleet->directory() + "/" + name + ".log");
}

Core::Result<LoadFigures> Run::readLoad(Bench::Process &process, double seconds, const std::string &name)
{
    process.wait(Core::Duration(static_cast<std::int64_t>(seconds * 1000)) + CommandTimeout);
    const std::string text = readFile(m_fleet->directory() + "/" + name + ".log");
    const std::size_t brace = text.rfind("\n{");
    const Poco::JSON::Object::Ptr report = BOOST_OUTCOME_TRYX(parseObject(text.substr(brace == std::string::npos ? 0 : brace + 1), "read load report"));
    LoadFigures figures;
    figures.m_sent = report->optValue<std::uint64_t>("sent", 0);
    figures.m_failed = figures.m_sent - report->optValue<std::uint64_t>("ok", 0);
    figures.m_p99Ms = report->getObject("total_ms")->optValue<double>("p99", 0);
    return figures;
}

double Run::agentProcessorSeconds()
{
    double seconds = 0;
    for (const Bench::ProcessSpec *agent : m_fleet->ofKind(Bench::ProcessKind::Agent)) {
        const Bench::Process *process = m_fleet->process(agent->m_name);
        seconds += process ? process->processorSeconds() : 0;
    }
    return seconds;
}

std::map<std::string, std::uint64_t> Run::regionBytes() const
{
    std::map<std::string, std::uint64_t> bytes;
    if (m_options.m_isDirect) {
        return bytes;
    }
    const Core::Result<Poco::JSON::Object::Ptr> journal = m_fleet->page("network", "/journal");
    if (!journal) {
        std::cerr << journal.error() << "\n";
        return bytes;
    }
    const Poco::JSON::Array::Ptr pairs = journal.value()->getArray("region_pairs");
    for (std::size_t index = 0; index < pairs->size(); ++index) {
        const Poco::JSON::Object::Ptr pair = pairs->getObject(static_cast<unsigned>(index));
        const std::string from = pair->getValue<std::string>("from");
        const std::string to = pair->getValue<std::string>("to");
        if (from != to) {
            bytes[from + " to " + to] = pair->getValue<std::uint64_t>("bytes");
        }
    }
    return bytes;
}

std::uint64_t Run::originBytes() const
{
    const Core::Result<Poco::JSON::Object::Ptr> journal = m_fleet->page("origin", "/journal");
    return journal ? journal.value()->getValue<std::uint64_t>("data_bytes") : 0;
}

void Run::saveDumps()
{
    if (m_options.m_keepDirectory.empty()) {
        return;
    }
    std::filesystem::create_directories(m_options.m_keepDirectory);
    std::filesystem::copy(
        m_fleet->directory(), m_options.m_keepDirectory, std::filesystem::copy_options::overwrite_existing | std::filesystem::copy_options::recursive);
    for (const Bench::ProcessSpec *agent : m_fleet->ofKind(Bench::ProcessKind::Agent)) {
        if (m_faultyInstances.contains(agent->m_instance)) {
            continue;
        }
        std::ofstream(m_options.m_keepDirectory + "/" + agent->m_instance + ".dump") << Bench::httpGet(agent->m_admin, "/dump").value();
        std::ofstream(m_options.m_keepDirectory + "/" + agent->m_instance + ".metrics") << Bench::httpGet(agent->m_admin, "/metrics").value();
    }
}

Core::Result<Figures> Run::perform()
{
    const Bench::Topology topology = makeTopology(m_options);
    m_fleet = BOOST_OUTCOME_TRYX(Bench::Fleet::start(topology, m_options.m_programs));
    BOOST_OUTCOME_TRYV(awaitMembers());
    awaitIdleNetwork();
    Figures figures;
    const double weightBytes = static_cast<double>(topology.m_versions.front().m_bytes);
    figures.m_boundSeconds = weightBytes / static_cast<double>(topology.m_links.m_instance);
    std::string version = "1";
    if (m_options.m_liveRate > 0) {
        BOOST_OUTCOME_TRYV(publish("1"));
        m_publishedAt = Core::Clock::now();
        Figures first = figures;
        awaitServing(BOOST_OUTCOME_TRYX(contentDigest("1")), first, false);
        Bench::Process baseline = BOOST_OUTCOME_TRYX(startLoad(BaselineSeconds, "load-before"));
        figures.m_baselineLoad = BOOST_OUTCOME_TRYX(readLoad(baseline, BaselineSeconds, "load-before"));
        figures.m_hasLoad = true;
        version = "2";
    }
    const std::string digest = BOOST_OUTCOME_TRYX(contentDigest(version));
    std::ostringstream faults;
    faults << "{\"corrupt_percent\":" << m_options.m_corruptPercent;
    if (m_options.m_downAfterCopies > 0) {
        const double before = static_cast<double>(originBytes()) / weightBytes;
        faults << ",\"down_after_copies\":" << before + m_options.m_downAfterCopies;
    }
    faults << "}";
    BOOST_OUTCOME_TRYV(m_fleet->setFaults("origin", faults.str()));
    const std::map<std::string, std::uint64_t> regionBefore = regionBytes();
    const std::uint64_t originBefore = originBytes();
    const double processorBefore = agentProcessorSeconds();

    std::optional<Bench::Process> load;
    if (figures.m_hasLoad) {
        load.emplace(BOOST_OUTCOME_TRYX(startLoad(BurstLoadSeconds, "load-during")));
    }
    BOOST_OUTCOME_TRYV(publish(version));
    m_publishedAt = Core::Clock::now();
    LOG(INFO) << "published";
    awaitServing(digest, figures, m_options.m_killPercent + m_options.m_stallPercent > 0);
    if (load) {
        figures.m_burstLoad = BOOST_OUTCOME_TRYX(readLoad(*load, BurstLoadSeconds, "load-during"));
    }
    figures.m_processorSeconds = agentProcessorSeconds() - processorBefore;
    figures.m_originCopies = static_cast<double>(originBytes() - originBefore) / weightBytes;
    for (const std::pair<const std::string, std::uint64_t> &pair : regionBytes()) {
        const std::map<std::string, std::uint64_t>::const_iterator before = regionBefore.find(pair.first);
        const std::uint64_t bytes = pair.second - (before == regionBefore.end() ? 0 : before->second);
        figures.m_regionCopies = std::max(figures.m_regionCopies, static_cast<double>(bytes) / weightBytes);
    }
    saveDumps();
    return figures;
}

}
