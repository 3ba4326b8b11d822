/// @file Implementation of the follower.

#include "LibFollow/Follower.h"

#include <algorithm>

namespace Follow {

namespace {

constexpr std::uint32_t MaximumDoublings = 5;

}

Follower::Follower(FollowerParts parts, FollowerSettings settings, RecordSource source)
    : m_parts(parts)
    , m_settings(settings)
    , m_source(std::move(source))
    , m_declarations(parts.m_loop)
    , m_endpoints(parts.m_loop)
    , m_forgetTimer(parts.m_loop)
    , m_reads(parts.m_metrics.counter("log_reads_total"))
    , m_readsFailed(parts.m_metrics.counter("log_reads_failed_total"))
    , m_isAlive(std::make_shared<bool>(true))
{
}

Follower::~Follower()
{
    *m_isAlive = false;
}

void Follower::onUpdate(std::function<void(const Fleet::FleetStateUpdate &)> callback)
{
    m_onUpdate = std::move(callback);
}

void Follower::onUnreachable(std::function<void()> callback)
{
    m_onUnreachable = std::move(callback);
}

void Follower::onEndpointsRead(std::function<void(Core::Instant asked)> callback)
{
    m_onEndpointsRead = std::move(callback);
}

void Follower::onMayRest(std::function<bool()> mayRest)
{
    m_mayRest = std::move(mayRest);
}

std::optional<Core::Instant> Follower::outageEnd() const
{
    const Core::Instant now = Core::Clock::now();
    if (m_endpoints.m_failures > 0) {
        return now;
    }
    const bool isRecent = m_endpoints.m_regainedAt && now - *m_endpoints.m_regainedAt < m_settings.m_outageMemory;
    return isRecent ? m_endpoints.m_regainedAt : std::nullopt;
}

std::optional<Core::Instant> Follower::doubtfulSince() const
{
    const std::optional<Core::Instant> end = outageEnd();
    const bool isNew = m_startedAt && Core::Clock::now() - *m_startedAt < m_settings.m_outageMemory;
    return end || !isNew ? end : m_startedAt;
}

void Follower::forgetMissing()
{
    if (m_endpoints.m_failures == 0) {
        tell(m_parts.m_fleetState.removeMissing(m_settings.m_outageMemory, Core::Clock::now()));
    }
    m_forgetTimer.expires_after(m_settings.m_forgetInterval);
    m_forgetTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code &error) {
        if (*alive && !error) {
            forgetMissing();
        }
    });
}

bool Follower::mayRest(const Reading &reading) const
{
    return reading.m_next > 0 && m_mayRest && m_mayRest();
}

void Follower::start()
{
    if (m_isStarted) {
        return;
    }
    m_isStarted = true;
    m_startedAt = Core::Clock::now();
    readDeclarations();
    if (m_settings.m_followsEndpoints) {
        readEndpoints();
        forgetMissing();
    }
}

void Follower::again(Reading &reading, Core::Duration pause, void (Follower::*read)())
{
    reading.m_timer.expires_after(pause);
    reading.m_timer.async_wait([this, &reading, read, alive = m_isAlive](const boost::system::error_code &error) {
        if (!*alive || error) {
            return;
        }
        if (mayRest(reading)) {
            again(reading, m_settings.m_restInterval, read);
            return;
        }
        (this->*read)();
    });
}

Core::Duration Follower::retryPause(const Reading &reading)
{
    const std::uint32_t doublings = std::min(reading.m_failures, MaximumDoublings);
    const Core::Duration longest = std::min(m_settings.m_longestRetry, m_settings.m_firstRetry * (std::int64_t{1} << doublings));
    // Processes that lost the log together must not all come back to it together.
    return longest / 2 + Core::Duration(m_parts.m_random.below(static_cast<std::uint64_t>(longest.count() / 2 + 1)));
}

void Follower::failed(Reading &reading, const Core::Error &error, const char *what)
{
    m_readsFailed.add();
    if (reading.m_failures == 0) {
        m_parts.m_log.write(Telemetry::LogLine("log_unreachable").text("what", what).text("error", error.message()));
    }
    ++reading.m_failures;
    if (m_onUnreachable) {
        m_onUnreachable();
    }
}

void Follower::tell(const Fleet::FleetStateUpdate &update)
{
    if (update.any() && m_onUpdate) {
        m_onUpdate(update);
    }
}

void Follower::readDeclarations()
{
    m_reads.add();
    const bool isFirst = m_declarations.m_next == 0;
    DeclarationsCallback done = [this, alive = m_isAlive, isFirst](Core::Result<Fleet::Declarations> result) {
        if (*alive) {
            declarationsCame(std::move(result), isFirst);
        }
    };
    if (isFirst) {
        m_source.m_readAllDeclarations(std::move(done));
        return;
    }
    m_source.m_awaitDeclarations(m_declarations.m_next, m_settings.m_declarationsPatience, std::move(done));
}

void Follower::declarationsCame(Core::Result<Fleet::Declarations> result, bool isFirst)
{
    if (!result) {
        if (result.error().m_code == Core::ErrorCode::NotFound) {
            m_declarations.m_next = 0;
        }
        failed(m_declarations, result.error(), "declarations");
        again(m_declarations, retryPause(m_declarations), &Follower::readDeclarations);
        return;
    }
    if (m_declarations.m_failures > 0) {
        m_parts.m_log.write(Telemetry::LogLine("log_regained").text("what", "declarations"));
    }
    m_declarations.m_failures = 0;
    const Fleet::Declarations &declarations = result.value();
    m_declarations.m_next = declarations.m_end;
    noteAcceptance(declarations, isFirst);
    tell(m_parts.m_fleetState.apply(declarations));
    const bool isEmpty = declarations.m_end == 0; // Nothing was ever declared: look again soon.
    constexpr Core::Duration emptyPause{300};
    again(m_declarations, isEmpty ? emptyPause : Core::Duration(0), &Follower::readDeclarations);
}

void Follower::noteAcceptance(const Fleet::Declarations &declarations, bool isFirst)
{
    const Core::Instant now = Core::Clock::now();
    for (const Fleet::DeclaredWeights &declared : declarations.m_weights) {
        if (isFirst) {
            m_parts.m_versions.recordFound(declared.m_model, declared.m_version, now);
        } else {
            m_parts.m_versions.recordDeclared(declared.m_model, declared.m_version, Core::Duration(0), now);
        }
    }
}

void Follower::readEndpoints()
{
    m_reads.add();
    EndpointsCallback done = [this, alive = m_isAlive, asked = Core::Clock::now()](Core::Result<Fleet::EndpointChanges> result) {
        if (*alive) {
            endpointsCame(std::move(result), asked);
        }
    };
    if (m_endpoints.m_next == 0) {
        m_source.m_readAllEndpoints(std::move(done));
        return;
    }
    // Peers may have brought this process further while it rested.
    m_source.m_readEndpoints(std::max(m_endpoints.m_next, m_parts.m_fleetState.endpointsEnd()), std::move(done));
}

void Follower::endpointsCame(Core::Result<Fleet::EndpointChanges> result, Core::Instant asked)
{
    const Core::Instant now = Core::Clock::now();
    if (!result) {
        if (result.error().m_code == Core::ErrorCode::NotFound) {
            m_endpoints.m_next = 0;
        }
        failed(m_endpoints, result.error(), "endpoints");
        again(m_endpoints, retryPause(m_endpoints), &Follower::readEndpoints);
        return;
    }
    if (m_endpoints.m_failures > 0) {
        m_parts.m_log.write(Telemetry::LogLine("log_regained").text("what", "endpoints"));
        m_endpoints.m_regainedAt = now;
    }
    m_endpoints.m_failures = 0;
    m_endpoints.m_next = result.value().m_end;
    tell(m_parts.m_fleetState.apply(result.value(), outageEnd(), now));
    if (m_onEndpointsRead) {
        m_onEndpointsRead(asked);
    }
    again(m_endpoints, m_settings.m_endpointsInterval, &Follower::readEndpoints);
}

}
