/// @file Tests of the account of ended requests: the cause of each outcome, and that no request is lost between lines.

#include "LibRelay/RequestAccount.h"

#include <catch2/catch.hpp>
#include <unistd.h>

namespace {

Relay::RequestEnd answeredAfter(Core::Duration firstByte)
{
    Relay::RequestEnd end;
    end.m_goal = Core::Duration(400);
    end.m_gapGoal = Core::Duration(300);
    end.m_firstByte = firstByte;
    end.m_expectedFirstByte = Core::Duration(100);
    end.m_attempts = 1;
    return end;
}

/// A log whose lines are read back from a pipe.
struct PipedLog
{
    std::array<int, 2> m_pipe{};
    Telemetry::Metrics m_metrics;
    std::unique_ptr<Telemetry::EventLog> m_log;

    explicit PipedLog(Telemetry::EventLogLimits limits)
    {
        REQUIRE(::pipe(m_pipe.data()) == 0);
        m_log = std::make_unique<Telemetry::EventLog>(m_pipe[1], "entry-1", m_metrics, limits);
    }

    ~PipedLog()
    {
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }

    std::string read()
    {
        m_log->flush();
        std::array<char, 4096> buffer{};
        const ssize_t length = ::read(m_pipe[0], buffer.data(), buffer.size());
        return std::string(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
    }
};

}

TEST_CASE("Each outcome has the cause that explains most of it")
{
    using Relay::EndCause;
    Relay::RequestEnd end = answeredAfter(Core::Duration(400));
    CHECK(Relay::endCause(end) == EndCause::InTime);
    end.m_longestPause = Core::Duration(301);
    CHECK(Relay::endCause(end) == EndCause::LatePause);
    end.m_attempts = 2;
    CHECK(Relay::endCause(end) == EndCause::LatePauseMoved);
    end.m_firstByte = Core::Duration(500);
    CHECK(Relay::endCause(end) == EndCause::LateRetried);
    end.m_waited = Core::Duration(300);
    CHECK(Relay::endCause(end) == EndCause::LateWaited);
    end.m_elapsedBefore = Core::Duration(400);
    CHECK(Relay::endCause(end) == EndCause::LateReturned);
    end = answeredAfter(Core::Duration(500));
    CHECK(Relay::endCause(end) == EndCause::LateEndpoint);
    end.m_expectedFirstByte = Core::Duration(450);
    CHECK(Relay::endCause(end) == EndCause::LateForecast);
    end.m_outcome = Relay::RequestOutcome::Failed;
    CHECK(Relay::endCause(end) == EndCause::Failed);
    end.m_isHeadForwarded = true;
    CHECK(Relay::endCause(end) == EndCause::Cut);
    end.m_outcome = Relay::RequestOutcome::Refused;
    CHECK(Relay::endCause(end) == EndCause::RefusedFirst);
    end.m_elapsedBefore = Core::Duration(400);
    CHECK(Relay::endCause(end) == EndCause::RefusedAgain);
}

TEST_CASE("A request without objectives is never late")
{
    Relay::RequestEnd end;
    end.m_firstByte = Core::Duration(100000);
    end.m_longestPause = Core::Duration(100000);
    CHECK(Relay::endCause(end) == Relay::EndCause::InTime);
}

TEST_CASE("Counts are written about once a second, and at the end")
{
    PipedLog log(Telemetry::EventLogLimits{});
    Relay::RequestAccount account;
    const Core::Instant start = Core::Clock::now();
    account.record(Relay::EndCause::InTime);
    account.writeIfDue(*log.m_log, start);
    CHECK(log.read().find(R"("sequence":0,"total":1,"in_time":1})") != std::string::npos);
    account.record(Relay::EndCause::Cut);
    account.record(Relay::EndCause::InTime);
    account.writeIfDue(*log.m_log, start + Core::Duration(500));
    account.writeIfDue(*log.m_log, start + Core::Duration(500), true);
    CHECK(log.read().find(R"("sequence":1,"total":2,"in_time":1,"cut":1})") != std::string::npos);
}

TEST_CASE("The counts of a line that the log drops go into the next line")
{
    // The log drops lines when its reader is too slow, which is when requests fail. Their counts must not be lost.
    PipedLog log(Telemetry::EventLogLimits{256 << 10, 0, 1});
    Relay::RequestAccount account;
    const Core::Instant start = Core::Clock::now();
    log.m_log->write(Telemetry::LogLine("other"));
    account.record(Relay::EndCause::Failed);
    account.writeIfDue(*log.m_log, start);
    CHECK(log.read().find("requests_ended") == std::string::npos);
    PipedLog recovered(Telemetry::EventLogLimits{});
    account.record(Relay::EndCause::Failed);
    account.writeIfDue(*recovered.m_log, start + Core::Duration(200));
    CHECK(recovered.read().find(R"("sequence":0,"total":2,"failed":2})") != std::string::npos);
}
