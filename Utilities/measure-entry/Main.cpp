/// @file measure-entry: measures requests and tokens per second of an entry on one core, and the latency that it adds.

#include "LibBench/Process.h"
#include "LibControl/Records.h"
#include "LibCore/Random.h"
#include "LibNetwork/Listener.h"
#include "LibPlatform/HttpLog.h"
#include "LibStandIn/HttpServer.h"
#include "LibStandInLog/LogService.h"
#include "LibWire/Pack.h"
#include "StubAgent.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/StreamCopier.h>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <future>
#include <iostream>

namespace {

using MeasureEntry::StubAgent;

constexpr const char *Service = "drafting-models";
constexpr int Agents = 3;
constexpr Core::Duration RunTime{3000};
constexpr Core::Duration AnswerTimeout{20000};
const std::string Digest(64, '7');
const std::string GenerateBody = R"({"account":"sao-mai","template":"season","prompt":"moodboard","max_tokens":64})";

/// Sends an HTTP request on a persistent connection. Returns the status, or 0 if the request failed.
int sendRequest(Poco::Net::HTTPClientSession &session, const std::string &method, const std::string &path, const std::string &body, std::string &answer)
{
    try {
        Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        answer.clear();
        Poco::StreamCopier::copyToString(stream, answer);
        return response.getStatus();
    } catch (const Poco::Exception &) {
        session.reset();
        return 0;
    }
}

/// The platform, the agents and the measured entry.
class Cluster
{
public:
    Cluster(const std::string &programs, int tokens)
        : m_log(logSettings(m_platform))
        , m_server(32)
    {
        m_server.listen(m_platform, [this](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) { m_log.handle(request, response); })
            .value();
        for (int index = 0; index < Agents; ++index) {
            m_agents.push_back(std::make_unique<StubAgent>("engine-" + std::to_string(index), Service, Digest, tokens));
            m_agents.back()->start().value();
            addToInstanceList(m_agents.back()->member());
        }
        publish();
        const std::string settings = writeSettings();
        m_entry.emplace(
            Bench::Process::start("/usr/bin/taskset", {"-c", "0", programs + "/oriolerail-entry", "--settings", settings}, settings + ".log").value());
        waitForAnswer();
    }

    ~Cluster()
    {
        m_entry.reset();
        m_log.stop();
        m_server.stop();
    }

    const Core::Address &callers() const
    {
        return m_callers;
    }
    const Bench::Process &entry() const
    {
        return *m_entry;
    }
    const Core::Address &agent() const
    {
        return m_agents.front()->member().m_wire;
    }

private:
    static StandIn::LogServiceSettings logSettings(const Core::Address &listen)
    {
        StandIn::LogServiceSettings settings;
        settings.m_listen = listen;
        settings.m_listLag = Core::Duration(0);
        return settings;
    }

    void addToInstanceList(const Protocol::Member &member) const
    {
        Poco::Net::HTTPClientSession session(m_platform.m_host, m_platform.m_port);
        const std::string body = R"({"address":")" + member.m_wire.toString() + R"(","role":"agent","service":")" + member.m_service
            + R"(","region":"r","failure_domain":"f","state":"live"})";
        std::string answer;
        sendRequest(session, "PUT", "/instances/" + member.m_id, body, answer);
    }

    void publish() const
    {
        Control::PublishTemplate change;
        change.m_template.m_name = "season";
        change.m_template.m_service = Service;
        Control::AccountParameters &account = change.m_template.m_accounts.emplace_back();
        account.m_account = "sao-mai";
        account.m_model = "trend";
        account.m_version = "7";
        account.m_digest = Digest;
        account.m_replicas = Agents;
        Platform::HttpLog log(Network::NetworkSettings(), m_platform);
        log.append(Control::ControlStream, Control::encodeRecord(Control::Record{Core::randomIdentifier(), "operator", change})).value();
    }

    std::string writeSettings() const
    {
        const std::string path = "/tmp/measure-entry-" + std::to_string(m_callers.m_port) + ".yaml";
        std::ofstream file(path);
        file << "instance: {id: entry-1, region: r, failure_domain: f}\n"
             << "listen: {wire: " << Network::freeLoopbackAddress().toString() << ", admin: " << Network::freeLoopbackAddress().toString()
             << ", callers: " << m_callers.toString() << "}\n"
             << "platform: {log: " << m_platform.toString() << ", instances: " << m_platform.toString() << "}\n"
             << "entries: []\n"
             << "limits: {connections: 4096}\n";
        return path;
    }

    void waitForAnswer() const
    {
        const Core::Instant deadline = Core::Clock::now() + AnswerTimeout;
        std::string answer;
        while (Core::Clock::now() < deadline) {
            Poco::Net::HTTPClientSession session(m_callers.m_host, m_callers.m_port);
            if (sendRequest(session, "POST", "/v1/generate", GenerateBody, answer) == 200) {
                return;
            }
            std::this_thread::sleep_for(Core::Duration(50));
        }
        std::fprintf(stderr, "the entry did not answer in time: %s\n", answer.c_str());
        std::exit(1);
    }

    const Core::Address m_platform = Network::freeLoopbackAddress();
    const Core::Address m_callers = Network::freeLoopbackAddress();
    StandIn::LogService m_log;
    StandIn::HttpServer m_server;
    std::vector<std::unique_ptr<StubAgent>> m_agents;
    std::optional<Bench::Process> m_entry;
};

double quantile(std::vector<double> &times, double fraction)
{
    std::sort(times.begin(), times.end());
    return times.empty() ? 0 : times[std::min(times.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(times.size())))];
}

/// Results of one or more callers.
struct Load
{
    std::size_t m_answered = 0;
    std::size_t m_failed = 0;
    std::vector<double> m_seconds;
};

/// Runs one caller that sends its next request as soon as the previous one is answered.
Load runClosedLoop(const Core::Address &callers, Core::Instant deadline)
{
    Load load;
    Poco::Net::HTTPClientSession session(callers.m_host, callers.m_port);
    session.setKeepAlive(true);
    std::string answer;
    while (Core::Clock::now() < deadline) {
        const Core::Instant start = Core::Clock::now();
        const int status = sendRequest(session, "POST", "/v1/generate", GenerateBody, answer);
        const bool isComplete = status == 200 && answer.find("{\"end\":true") != std::string::npos;
        (isComplete ? load.m_answered : load.m_failed) += 1;
        load.m_seconds.push_back(Core::secondsBetween(start, Core::Clock::now()));
    }
    return load;
}

void measureThroughput(const std::string &programs, int tokens, int callers)
{
    Cluster cluster(programs, tokens);
    const double processorBefore = cluster.entry().processorSeconds();
    const Core::Instant start = Core::Clock::now();
    std::vector<std::future<Load>> loops;
    for (int caller = 0; caller < callers; ++caller) {
        loops.push_back(std::async(std::launch::async, runClosedLoop, cluster.callers(), start + RunTime));
    }
    Load sum;
    for (std::future<Load> &loop : loops) {
        const Load load = loop.get();
        sum.m_answered += load.m_answered;
        sum.m_failed += load.m_failed;
        sum.m_seconds.insert(sum.m_seconds.end(), load.m_seconds.begin(), load.m_seconds.end());
    }
    const double seconds = Core::secondsBetween(start, Core::Clock::now());
    const double processor = cluster.entry().processorSeconds() - processorBefore;
    const double answered = static_cast<double>(sum.m_answered);
    std::printf("%-8d %-8d %10.0f %12.0f %8zu %10.2f %10.2f %10.2f %14.0f %9.1f\n",
                tokens,
                callers,
                answered / seconds,
                answered * tokens / seconds,
                sum.m_failed,
                quantile(sum.m_seconds, 0.5) * 1000,
                quantile(sum.m_seconds, 0.99) * 1000,
                processor / seconds,
                processor / answered * 1e6,
                static_cast<double>(cluster.entry().residentBytes()) / 1e6);
}

/// Compares the latency of direct requests to an agent with requests through the entry, one request at a time.
void measureAddedLatency(const std::string &programs)
{
    constexpr int rounds = 1000;
    Cluster cluster(programs, 8);
    Telemetry::Metrics metrics;
    Wire::Node node(Wire::NodeSettings(), metrics);
    node.start().value();
    std::vector<double> direct;
    for (int round = 0; round < rounds; ++round) {
        Protocol::LiveRequest request;
        request.m_attempt = "direct";
        request.m_service = Service;
        request.m_digest = Digest;
        const Core::Instant start = Core::Clock::now();
        const std::shared_ptr<std::promise<void>> done = std::make_shared<std::promise<void>>();
        Wire::CallEvents events;
        events.m_onEnd = [done](const Wire::CallEnd &) { done->set_value(); };
        node.call(cluster.agent(), "live.call", Wire::pack(request), Wire::CallOptions(), events);
        done->get_future().get();
        direct.push_back(Core::secondsBetween(start, Core::Clock::now()));
    }
    node.stop();
    std::vector<double> throughEntry;
    Poco::Net::HTTPClientSession session(cluster.callers().m_host, cluster.callers().m_port);
    session.setKeepAlive(true);
    std::string answer;
    for (int round = 0; round < rounds; ++round) {
        const Core::Instant start = Core::Clock::now();
        sendRequest(session, "POST", "/v1/generate", GenerateBody, answer);
        throughEntry.push_back(Core::secondsBetween(start, Core::Clock::now()));
    }
    std::printf("\nadded latency, one request of 8 tokens at a time: direct p50 %.3f ms, p99 %.3f ms; through the entry p50 %.3f ms, p99 %.3f ms\n",
                quantile(direct, 0.5) * 1000,
                quantile(direct, 0.99) * 1000,
                quantile(throughEntry, 0.5) * 1000,
                quantile(throughEntry, 0.99) * 1000);
}

}

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 2) {
        std::cerr << "usage: measure-entry DIRECTORY_OF_PROGRAMS\n";
        return 2;
    }
    const std::string programs = arguments[1];
    std::printf("one entry on one core, %d agents that answer at once\n", Agents);
    std::printf("%-8s %-8s %10s %12s %8s %10s %10s %10s %14s %9s\n",
                "tokens",
                "callers",
                "requests/s",
                "tokens/s",
                "failed",
                "p50 ms",
                "p99 ms",
                "cores",
                "us/request",
                "MB");
    measureThroughput(programs, 1, 16);
    measureThroughput(programs, 64, 16);
    measureThroughput(programs, 64, 256);
    measureThroughput(programs, 512, 64);
    measureAddedLatency(programs);
    return 0;
}
