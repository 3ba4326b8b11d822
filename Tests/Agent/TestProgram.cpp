/// @file Tests of the agent program: start, settings and shutdown by signal.

#include "AgentFixture.h"
#include "LibBench/Process.h"

#include <Poco/TemporaryFile.h>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace {

using AgentFixture::EntryClient;
using AgentFixture::Version;
using AgentFixture::waitUntil;

std::string program()
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path() / "bin" / "oriolerail-agent").string();
}

/// A temporary settings file, removed at the end of the test.
class SettingsFile
{
public:
    explicit SettingsFile(const std::string &text)
    {
        std::ofstream(m_file.path()) << text;
    }

    std::string path() const
    {
        return m_file.path();
    }

private:
    Poco::TemporaryFile m_file;
};

}

TEST_CASE("after SIGTERM while an answer is being generated, the answer is completed and the process exits with status 0")
{
    // The platform replaces the instance while an answer is being generated.
    const Version version = AgentFixture::makeVersion("7", 20'000);
    AgentFixture::Origin origin({version});
    StandIn::EngineSettings engineSettings;
    engineSettings.m_firstTokenMs = 1;
    engineSettings.m_tokenMs = 1;
    AgentFixture::HostedEndpoint<StandIn::Engine> engine(engineSettings);
    AgentFixture::Entry entry;
    const Core::Address wire = Network::freeLoopbackAddress();
    const SettingsFile settings("instance: {id: " + std::string(AgentFixture::Instance)
                                + ", region: hcm, failure_domain: hcm-a, service: " + AgentFixture::Service + "}\n" + "listen: {wire: \"" + wire.toString()
                                + "\", admin: \"" + Network::freeLoopbackAddress().toString() + "\"}\n" + "entries: [\"" + entry.m_address.toString()
                                + "\"]\norigin: \"" + origin.m_address.toString() + "\"\nengine: {address: \"" + engine.m_address.toString()
                                + "\"}\nduties: {status_interval_ms: 20, leave_notice_ms: 50}\n");
    Core::Result<Bench::Process> process = Bench::Process::start(program(), {"--settings", settings.path()}, settings.path() + ".log");
    REQUIRE(process);
    EntryClient client(wire);
    entry.publishPlan({version});
    waitUntil("the version to be attested", [&client, &version] {
        client.watch();
        return client.isAttested(version);
    });
    const std::shared_ptr<EntryClient::Call> call = client.call(AgentFixture::draftRequest("a1", version, 3000));
    waitUntil("the first tokens", [&call] { return call->frameCount() > 2; });
    process.value().signal(SIGTERM);
    REQUIRE(call->waitForEnd().m_succeeded);
    REQUIRE(call->isComplete());
    REQUIRE(call->frameCount() == 3001);
    REQUIRE(process.value().wait(AgentFixture::WaitLimit) == 0);
    std::filesystem::remove(settings.path() + ".log");
}

TEST_CASE("settings with errors are refused")
{
    const SettingsFile settings("instance: {id: a}\nengine: {address: nowhere, kind: oracle}\n");
    Core::Result<Bench::Process> process = Bench::Process::start(program(), {"--settings", settings.path(), "--check"}, "/dev/null");
    REQUIRE(process);
    REQUIRE(process.value().wait(AgentFixture::WaitLimit) == 2);
}
