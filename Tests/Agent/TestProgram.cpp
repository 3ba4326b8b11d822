/// @file The program as it is started and ended on an instance.

#include "AgentFixture.h"
#include "LibBench/Process.h"

#include <Poco/TemporaryFile.h>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace {

using Rig::EntryClient;
using Rig::Version;
using Rig::waitUntil;

std::string program()
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path() / "bin" / "oriolerail-agent").string();
}

/// A settings file that lives as long as the test.
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

TEST_CASE("SIGTERM in the middle of a draft: the draft is finished and the process exits well")
{
    // The platform replaces the instance while an analyst's draft is written.
    const Version version = Rig::makeVersion("7", 20'000);
    Rig::Origin origin({version});
    StandIn::EngineSettings engineSettings;
    engineSettings.m_firstTokenMs = 1;
    engineSettings.m_tokenMs = 1;
    Rig::HostedEndpoint<StandIn::Engine> engine(engineSettings);
    Rig::Entry entry;
    const Core::Address wire = Network::freeLoopbackAddress();
    const SettingsFile settings("instance: {id: " + std::string(Rig::Instance) + ", region: hcm, failure_domain: hcm-a, service: " + Rig::Service + "}\n"
                                + "listen: {wire: \"" + wire.toString() + "\", admin: \"" + Network::freeLoopbackAddress().toString() + "\"}\n" + "entries: [\""
                                + entry.m_address.toString() + "\"]\norigin: \"" + origin.m_address.toString() + "\"\nengine: {address: \""
                                + engine.m_address.toString() + "\"}\nduties: {status_interval_ms: 20, leave_notice_ms: 50}\n");
    Core::Result<Bench::Process> process = Bench::Process::start(program(), {"--settings", settings.path()}, settings.path() + ".log");
    REQUIRE(process);
    EntryClient caller(wire);
    entry.publishPlan({version});
    waitUntil("the version to be attested", [&caller, &version] {
        caller.watch();
        return caller.isAttested(version);
    });
    const std::shared_ptr<EntryClient::Call> call = caller.call(Rig::draftRequest("a1", version, 3000));
    waitUntil("the first tokens", [&call] { return call->frameCount() > 2; });
    process.value().signal(SIGTERM);
    REQUIRE(call->waitForEnd().m_succeeded);
    REQUIRE(call->isComplete());
    REQUIRE(call->frameCount() == 3001);
    REQUIRE(process.value().wait(Rig::WaitLimit) == 0);
    std::filesystem::remove(settings.path() + ".log");
}

TEST_CASE("settings with mistakes are refused whole")
{
    const SettingsFile settings("instance: {id: a}\nengine: {address: nowhere, kind: oracle}\n");
    Core::Result<Bench::Process> process = Bench::Process::start(program(), {"--settings", settings.path(), "--check"}, "/dev/null");
    REQUIRE(process);
    REQUIRE(process.value().wait(Rig::WaitLimit) == 2);
}
