/// @file Tests the follower with a log that fails, drops records and recovers.

#include "../Support/LoopbackPeer.h"
#include "LibFollow/Follower.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

using TestSupport::runUntil;

namespace {

/// A follower that reads from a log whose answers the test sets.
struct FollowerFixture
{
    Http::EventLoop m_loop;
    Telemetry::Metrics m_metrics;
    Telemetry::EventLog m_log{STDOUT_FILENO, "test", m_metrics, Telemetry::EventLogLimits{0, 0, 0}};
    Core::Random m_random{3};
    Fleet::FleetState m_fleetState;
    Placement::VersionDeadlines m_versions{Core::Duration(6500)};
    std::optional<Core::Error> m_error; ///< If set, every read fails with it.
    std::uint64_t m_version = 1; ///< Of the weights that the log declares.
    std::uint64_t m_deliveredVersion = 0; ///< Of the weights that the last read delivered.
    std::size_t m_fullReads = 0;
    std::size_t m_waitingReads = 0;
    std::size_t m_failures = 0;
    std::unique_ptr<Follow::Follower> m_follower;

    FollowerFixture()
    {
        Follow::RecordSource source;
        source.m_readAllDeclarations = [this](Follow::DeclarationsCallback done) {
            ++m_fullReads;
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
        m_follower = std::make_unique<Follow::Follower>(
            Follow::FollowerParts{m_loop, m_fleetState, m_versions, m_metrics, m_log, m_random}, settings, std::move(source));
        m_follower->onUnreachable([this] { ++m_failures; });
    }

    void answer(Follow::DeclarationsCallback done)
    {
        boost::asio::post(m_loop, [this, callback = std::move(done)] {
            if (m_error) {
                callback(*m_error);
                return;
            }
            Fleet::Declarations declarations;
            declarations.m_end = 5;
            if (m_deliveredVersion != m_version) {
                // A read from an offset delivers only new declarations.
                m_deliveredVersion = m_version;
                declarations.m_weights = {Fleet::DeclaredWeights{"draft", m_version, 4}};
            }
            callback(declarations);
        });
    }
};

}

TEST_CASE("A failed read is retried, and the unreachable callback is called for each failure")
{
    FollowerFixture fixture;
    fixture.m_error = Core::makeError(Core::ErrorCode::Unavailable, "read", "log", "status 503");
    fixture.m_follower->start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_failures >= 3; }));
    fixture.m_error.reset();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_fleetState.declaredWeights("draft") != nullptr; }));
}

TEST_CASE("After records were dropped the next read is a full one")
{
    // The log drops records that this process has not read yet. Further reads from the old offset would always fail, and no change would ever arrive.
    FollowerFixture fixture;
    fixture.m_follower->start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_waitingReads >= 2; }));
    fixture.m_error = Core::makeError(Core::ErrorCode::NotFound, "read", "log", "status 410");
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_fullReads >= 2; }));
}

TEST_CASE("A version found by the first read has an unknown age, and a version read later counts as new")
{
    FollowerFixture fixture;
    fixture.m_follower->start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_fleetState.declaredWeights("draft") != nullptr; }));
    CHECK_FALSE(fixture.m_versions.knownAge("draft", 1, Core::Clock::now()));
    fixture.m_version = 2;
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_fleetState.declaredWeights("draft")->m_version == 2; }));
    CHECK(fixture.m_versions.knownAge("draft", 2, Core::Clock::now()));
    CHECK_FALSE(fixture.m_versions.requiredVersion("draft", Core::Clock::now()) == 2);
}

TEST_CASE("A follower does not read the log while it may rely on peers, and reads it again when it may no longer do so")
{
    // The readers of a failure domain die. Processes that keep relying on them would never learn of a change again.
    FollowerFixture fixture;
    bool mayRelyOnPeers = true;
    fixture.m_follower->setRelyOnPeersQuery([&mayRelyOnPeers] { return mayRelyOnPeers; });
    fixture.m_follower->start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_fleetState.declaredWeights("draft") != nullptr; }));
    const std::size_t before = fixture.m_waitingReads;
    CHECK_FALSE(runUntil(
        fixture.m_loop, [&fixture, before] { return fixture.m_waitingReads > before; }, std::chrono::milliseconds(500)));
    mayRelyOnPeers = false;
    CHECK(runUntil(fixture.m_loop, [&fixture, before] { return fixture.m_waitingReads > before; }));
}

TEST_CASE("The endpoint list is up to date as of the time when the read was sent")
{
    // If the time of the answer were used, processes would rely on a list that a late answer made look newer than it is. It would still contain an endpoint
    // that began to leave after the read was sent.
    Http::EventLoop loop;
    Telemetry::Metrics metrics;
    Telemetry::EventLog log{STDOUT_FILENO, "test", metrics, Telemetry::EventLogLimits{0, 0, 0}};
    Core::Random random{3};
    Fleet::FleetState fleetState;
    Placement::VersionDeadlines versions{Core::Duration(6500)};
    constexpr Core::Duration answerDelay{60};
    Http::Timer answer(loop);
    std::optional<Core::Instant> sentAt;
    Follow::RecordSource source;
    source.m_readAllDeclarations = [](const Follow::DeclarationsCallback &) {};
    source.m_readAllEndpoints = [&answer, &sentAt, answerDelay](const Follow::EndpointsCallback &done) {
        sentAt = sentAt.value_or(Core::Clock::now());
        answer.expires_after(answerDelay);
        answer.async_wait([done](const boost::system::error_code &) { done(Fleet::EndpointChanges{1, true, {}}); });
    };
    source.m_readEndpoints = [](Fleet::Offset, const Follow::EndpointsCallback &) {};
    Follow::Follower follower(Follow::FollowerParts{loop, fleetState, versions, metrics, log, random}, Follow::FollowerSettings{}, std::move(source));
    std::optional<Core::Instant> knownAsOf;
    follower.onEndpointsRead([&knownAsOf](Core::Instant readSentAt) { knownAsOf = readSentAt; });
    follower.start();
    REQUIRE(runUntil(loop, [&knownAsOf] { return knownAsOf.has_value(); }));
    CHECK(*knownAsOf <= *sentAt);
}
