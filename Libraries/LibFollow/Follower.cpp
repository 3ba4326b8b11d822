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
    , m_declarationsState(parts.m_loop)
    , m_endpointsState(parts.m_loop)
    , m_missingCheckTimer(parts.m_loop)
    , m_readCheckTimer(parts.m_loop)
    , m_reads(parts.m_metrics.counter("log_reads_total"))
    , m_readsFailed(parts.m_metrics.counter("log_reads_failed_total"))
    , m_readsGivenUp(parts.m_metrics.counter("log_reads_given_up_total"))
    , m_probes(parts.m_metrics.counter("log_probes_total"))
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

void Follower::onEndpointsRead(std::function<void(Core::Instant sentAt)> callback)
{
    m_onEndpointsRead = std::move(callback);
}

void Follower::onDeclarationsConfirmed(std::function<void()> callback)
{
    m_onDeclarationsConfirmed = std::move(callback);
}

void Follower::setRelyOnPeersQuery(std::function<bool()> mayRelyOnPeers)
{
    m_mayRelyOnPeers = std::move(mayRelyOnPeers);
}

std::optional<Core::Instant> Follower::outageEnd() const
{
    const Core::Instant now = Core::Clock::now();
    if (m_endpointsState.m_consecutiveFailures > 0) {
        return now;
    }
    const bool isRecent = m_endpointsState.m_recoveredAt && now - *m_endpointsState.m_recoveredAt < m_settings.m_outageGracePeriod;
    return isRecent ? m_endpointsState.m_recoveredAt : std::nullopt;
}

std::optional<Core::Instant> Follower::uncertainSince() const
{
    const std::optional<Core::Instant> end = outageEnd();
    const bool isNew = m_startedAt && Core::Clock::now() - *m_startedAt < m_settings.m_outageGracePeriod;
    return end || !isNew ? end : m_startedAt;
}

void Follower::removeMissingEndpoints()
{
    if (m_endpointsState.m_consecutiveFailures == 0) {
        notifyUpdate(m_parts.m_fleetState.removeMissing(m_settings.m_outageGracePeriod, Core::Clock::now()));
    }
    m_missingCheckTimer.expires_after(m_settings.m_missingCheckInterval);
    m_missingCheckTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code &error) {
        if (*alive && !error) {
            removeMissingEndpoints();
        }
    });
}

bool Follower::mayRelyOnPeers(const ReadState &state) const
{
    return state.m_nextOffset > 0 && m_mayRelyOnPeers && m_mayRelyOnPeers();
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
        removeMissingEndpoints();
    }
}

void Follower::scheduleRead(ReadState &state, Core::Duration delay, void (Follower::*read)())
{
    state.m_timer.expires_after(delay);
    state.m_timer.async_wait([this, &state, read, alive = m_isAlive](const boost::system::error_code &error) {
        if (!*alive || error) {
            return;
        }
        if (mayRelyOnPeers(state)) {
            scheduleRead(state, m_settings.m_peerCheckInterval, read);
            return;
        }
        (this->*read)();
    });
}

Core::Duration Follower::retryDelay(const ReadState &state)
{
    const std::uint32_t doublings = std::min(state.m_consecutiveFailures, MaximumDoublings);
    const Core::Duration maximumDelay = std::min(m_settings.m_maximumRetryDelay, m_settings.m_initialRetryDelay * (std::int64_t{1} << doublings));
    // The random part keeps processes that lost the log at the same time from retrying at the same time.
    return maximumDelay / 2 + Core::Duration(m_parts.m_random.below(static_cast<std::uint64_t>(maximumDelay.count() / 2 + 1)));
}

void Follower::handleFailure(ReadState &state, const Core::Error &error, const char *what)
{
    m_readsFailed.add();
    recordLoss();
    if (state.m_consecutiveFailures == 0) {
        m_parts.m_log.write(Telemetry::LogLine("log_unreachable").text("what", what).text("error", error.message()));
    }
    ++state.m_consecutiveFailures;
    if (m_onUnreachable) {
        m_onUnreachable();
    }
}

void Follower::notifyUpdate(const Fleet::FleetStateUpdate &update)
{
    if (update.any() && m_onUpdate) {
        m_onUpdate(update);
    }
}

void Follower::readEndpoints()
{
    m_reads.add();
    EndpointsCallback done = [this, alive = m_isAlive, sentAt = Core::Clock::now()](Core::Result<Fleet::EndpointChanges> result) {
        if (*alive) {
            handleEndpoints(std::move(result), sentAt);
        }
    };
    if (m_endpointsState.m_nextOffset == 0) {
        m_source.m_readAllEndpoints(std::move(done));
        return;
    }
    // Peers may have delivered later changes while this process did not read.
    m_source.m_readEndpoints(std::max(m_endpointsState.m_nextOffset, m_parts.m_fleetState.endpointsEnd()), std::move(done));
}

void Follower::handleEndpoints(Core::Result<Fleet::EndpointChanges> result, Core::Instant sentAt)
{
    const Core::Instant now = Core::Clock::now();
    if (!result) {
        if (result.error().m_code == Core::ErrorCode::NotFound) {
            m_endpointsState.m_nextOffset = 0;
        }
        handleFailure(m_endpointsState, result.error(), "endpoints");
        scheduleRead(m_endpointsState, retryDelay(m_endpointsState), &Follower::readEndpoints);
        return;
    }
    if (m_endpointsState.m_consecutiveFailures > 0) {
        m_parts.m_log.write(Telemetry::LogLine("log_regained").text("what", "endpoints"));
        m_endpointsState.m_recoveredAt = now;
    }
    m_endpointsState.m_consecutiveFailures = 0;
    m_endpointsState.m_nextOffset = result.value().m_end;
    recordAnswer(sentAt);
    hastenDeclarations();
    checkOpenRead();
    notifyUpdate(m_parts.m_fleetState.apply(result.value(), outageEnd(), now));
    if (m_onEndpointsRead) {
        m_onEndpointsRead(sentAt);
    }
    scheduleRead(m_endpointsState, m_settings.m_endpointsInterval, &Follower::readEndpoints);
}

}
