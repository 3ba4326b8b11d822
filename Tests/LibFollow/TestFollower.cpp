/// @file Following a log that fails, forgets and comes back.

#include "../Support/LoopbackPeer.h"
#include "LibFollow/Follower.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

using TestSupport::runUntil;

namespace {

/// A log whose answers the test decides.
struct FollowerFixture
{
    Http::EventLoop m_loop;
    Telemetry::Metrics m_metrics;
    Telemetry::EventLog m_log{STDOUT_FILENO, "test", m_metrics, Telemetry::EventLogLimits{0, 0, 0}};
    Core::Random m_random{3};
    Fleet::FleetState m_beliefs;
    Placement::VersionDeadlines m_versions{Core::Duration(6500)};
    std::optional<Core::Error> m_error; ///< Every read fails with it.
    std::uint64_t m_version = 1; ///< Of the weights that the log declares.
    std::uint64_t m_givenVersion = 0; ///< That the last read brought.
    std::size_t m_wholeReads = 0;
    std::size_t m_waitingReads = 0;
    std::size_t m_failures = 0;
    std::unique_ptr<Follow::Follower> m_follower;

    FollowerFixture()
    {
        Follow::RecordSource source;
        source.m_readAllDeclarations = [this](Follow::DeclarationsCallback done) {
            ++m_wholeReads;
            answer(std::move(done));
        };
        source.m_awaitDeclarations = [this](Fleet::Offset, Core::Duration, Follow::DeclarationsCallback done) {
            ++m_waitingReads;
            answer(std::move(done));
        };
        Follow::FollowerSettings settings;
        settings.m_followsEndpoints = false;
        settings.m_initialRetryDelay = Core::Duration(2);
        settings.m_maximumRetryDelay = Core::Duration(4);
        m_follower =
            std::make_unique<Follow::Follower>(Follow::FollowerParts{m_loop, m_beliefs, m_versions, m_metrics, m_log, m_random}, settings, std::move(source));
        m_follower->onUnreachable([this] { ++m_failures; });
    }

    void answer(Follow::DeclarationsCallback done)
    {
        boost::asio::post(m_loop, [this, give = std::move(done)] {
            if (m_error) {
                give(*m_error);
                return;
            }
            Fleet::Declarations declarations;
            declarations.m_end = 5;
            if (m_givenVersion != m_version) {
                // A read from an offset brings what is new only.
                m_givenVersion = m_version;
                declarations.m_weights = {Fleet::DeclaredWeights{"draft", m_version, 4}};
            }
            give(declarations);
        });
    }
};

}

TEST_CASE("a log that fails is read again, and peers are asked meanwhile")
{
    FollowerFixture fixture;
    fixture.m_error = Core::makeError(Core::ErrorCode::Unavailable, "read", "log", "status 503");
    fixture.m_follower->start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_failures >= 3; }));
    fixture.m_error.reset();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_beliefs.declaredWeights("draft") != nullptr; }));
}

TEST_CASE("records that were dropped make the next read a whole one")
{
    // The log forgets what this process had not read yet. Waiting for more from the old offset would fail for good, and no change would ever arrive.
    FollowerFixture fixture;
    fixture.m_follower->start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_waitingReads >= 2; }));
    fixture.m_error = Core::makeError(Core::ErrorCode::NotFound, "read", "log", "status 410");
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_wholeReads >= 2; }));
}

TEST_CASE("a version that is found at the start is of unknown age, one that comes later is new")
{
    FollowerFixture fixture;
    fixture.m_follower->start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_beliefs.declaredWeights("draft") != nullptr; }));
    CHECK_FALSE(fixture.m_versions.knownAge("draft", 1, Core::Clock::now()));
    fixture.m_version = 2;
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_beliefs.declaredWeights("draft")->m_version == 2; }));
    CHECK(fixture.m_versions.knownAge("draft", 2, Core::Clock::now()));
    CHECK_FALSE(fixture.m_versions.requiredVersion("draft", Core::Clock::now()) == 2);
}

TEST_CASE("a process that peers keep up to date reads nothing, and reads again once they fall silent")
{
    // The readers of a failure domain die. Whoever rested on them would never hear of a change again.
    FollowerFixture fixture;
    bool mayRest = true;
    fixture.m_follower->setRelyOnPeersQuery([&mayRest] { return mayRest; });
    fixture.m_follower->start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_beliefs.declaredWeights("draft") != nullptr; }));
    const std::size_t before = fixture.m_waitingReads;
    CHECK_FALSE(runUntil(
        fixture.m_loop, [&fixture, before] { return fixture.m_waitingReads > before; }, std::chrono::milliseconds(500)));
    mayRest = false;
    CHECK(runUntil(fixture.m_loop, [&fixture, before] { return fixture.m_waitingReads > before; }));
}

TEST_CASE("the list of endpoints is known as of the moment at which it was asked for")
{
    // Guards against processes that rest on a list whose reader got its answer late: an endpoint that left meanwhile is not in it.
    Http::EventLoop loop;
    Telemetry::Metrics metrics;
    Telemetry::EventLog log{STDOUT_FILENO, "test", metrics, Telemetry::EventLogLimits{0, 0, 0}};
    Core::Random random{3};
    Fleet::FleetState beliefs;
    Placement::VersionDeadlines versions{Core::Duration(6500)};
    constexpr Core::Duration answersAfter{60};
    Http::Timer answer(loop);
    std::optional<Core::Instant> sentAt;
    Follow::RecordSource source;
    source.m_readAllDeclarations = [](const Follow::DeclarationsCallback &) {};
    source.m_readAllEndpoints = [&answer, &sentAt, answersAfter](const Follow::EndpointsCallback &done) {
        sentAt = sentAt.value_or(Core::Clock::now());
        answer.expires_after(answersAfter);
        answer.async_wait([done](const boost::system::error_code &) { done(Fleet::EndpointChanges{1, true, {}}); });
    };
    source.m_readEndpoints = [](Fleet::Offset, const Follow::EndpointsCallback &) {};
    Follow::Follower follower(Follow::FollowerParts{loop, beliefs, versions, metrics, log, random}, Follow::FollowerSettings{}, std::move(source));
    std::optional<Core::Instant> knownAsOf;
    follower.onEndpointsRead([&knownAsOf](Core::Instant asked) { knownAsOf = asked; });
    follower.start();
    REQUIRE(runUntil(loop, [&knownAsOf] { return knownAsOf.has_value(); }));
    CHECK(*knownAsOf <= *sentAt);
}
