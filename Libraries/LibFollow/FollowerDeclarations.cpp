/// @file The part of the follower's implementation that reads declarations and finds out that such a read is dead.

#include "LibFollow/Follower.h"

#include <algorithm>

namespace Follow {

namespace {

constexpr std::uint32_t MaximumDeliveryDoublings = 6;

}

void Follower::readDeclarations()
{
    if (m_openRead) {
        return; // It was sent while a retry was already due.
    }
    m_reads.add();
    OpenRead read;
    read.m_number = ++m_readCount;
    read.m_from = m_declarationsState.m_nextOffset;
    read.m_sentAt = Core::Clock::now();
    DeclarationsCallback done = [this, alive = m_isAlive, number = read.m_number](Core::Result<Fleet::Declarations> result) {
        if (*alive && m_openRead && m_openRead->m_number == number) {
            handleDeclarations(std::move(result), *std::exchange(m_openRead, std::nullopt));
        }
    };
    if (read.m_from == 0) {
        m_openRead = read;
        m_source.m_readAllDeclarations(std::move(done));
        return;
    }
    read.m_waitLimit = m_isUnsure ? Core::Duration(0) : m_settings.m_declarationsWaitLimit;
    drawPatience();
    m_overdueSince.reset();
    m_openRead = read;
    m_source.m_awaitDeclarations(read.m_from, read.m_waitLimit, std::move(done));
    scheduleReadCheck();
}

void Follower::handleDeclarations(Core::Result<Fleet::Declarations> result, const OpenRead &read)
{
    m_readCheckTimer.cancel();
    if (!result) {
        logRead(read, result.error().message(), 0);
        m_isUnsure = true;
        if (result.error().m_code == Core::ErrorCode::NotFound) {
            m_declarationsState.m_nextOffset = 0;
            m_knownEnd = 0;
        }
        handleFailure(m_declarationsState, result.error(), "declarations");
        scheduleRead(m_declarationsState, retryDelay(m_declarationsState), &Follower::readDeclarations);
        return;
    }
    logRead(read, "answered", result.value().m_end);
    if (m_declarationsState.m_consecutiveFailures > 0) {
        m_parts.m_log.write(Telemetry::LogLine("log_regained").text("what", "declarations"));
    }
    m_declarationsState.m_consecutiveFailures = 0;
    m_isUnsure = false;
    applyDeclarations(result.value(), read);
    const bool isEmpty = result.value().m_end == 0; // Nothing has been declared yet: read again soon.
    constexpr Core::Duration emptyLogDelay{300};
    scheduleRead(m_declarationsState, isEmpty ? emptyLogDelay : Core::Duration(0), &Follower::readDeclarations);
}

void Follower::applyDeclarations(const Fleet::Declarations &declarations, const OpenRead &read)
{
    recordAnswer(read.m_sentAt);
    m_knownEnd = std::max(m_knownEnd, declarations.m_end);
    m_fruitlessReads = declarations.m_end > m_declarationsState.m_nextOffset ? 0 : m_fruitlessReads;
    m_declarationsState.m_nextOffset = std::max(m_declarationsState.m_nextOffset, declarations.m_end);
    if (declarations.m_unreadableRecords > 0) {
        // What was declared before stays in force.
        Telemetry::LogLine line("declarations_unreadable");
        line.number("records", std::int64_t{declarations.m_unreadableRecords}).number("from", static_cast<std::int64_t>(read.m_from));
        m_parts.m_log.write(line.number("end", static_cast<std::int64_t>(declarations.m_end)));
    }
    recordVersions(declarations, read.m_from == 0);
    notifyUpdate(m_parts.m_fleetState.apply(declarations));
    // The log read its records when the answer was due, and not before the wait was over if there were none.
    const bool hasWaited = declarations.m_end == read.m_from && Core::Clock::now() - read.m_sentAt >= read.m_waitLimit;
    m_parts.m_fleetState.confirmDeclarations(hasWaited ? read.m_sentAt + read.m_waitLimit : read.m_sentAt);
    if (m_onDeclarationsConfirmed) {
        m_onDeclarationsConfirmed();
    }
}

void Follower::drawPatience()
{
    m_patience = Core::Duration(m_parts.m_random.below(static_cast<std::uint64_t>(m_settings.m_maximumPatience.count() + 1)));
}

void Follower::scheduleReadCheck()
{
    m_readCheckTimer.expires_after(m_settings.m_readCheckInterval);
    m_readCheckTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code &error) {
        if (*alive && !error && m_openRead) {
            scheduleReadCheck();
            checkOpenRead();
        }
    });
}

void Follower::checkOpenRead()
{
    if (!m_openRead || m_openRead->m_from == 0) {
        return; // A full read does not wait, and its calls have short limits of their own.
    }
    const OpenRead read = *m_openRead;
    const Core::Instant now = Core::Clock::now();
    ReadLimits limits = m_settings.m_readLimits;
    limits.m_deliveryTime *= std::int64_t{1} << std::min(m_fruitlessReads, MaximumDeliveryDoublings);
    switch (judgeRead(evidence(read), limits, m_patience, now)) {
    case ReadVerdict::Sound:
        return;
    case ReadVerdict::Dead:
        giveUpRead(read);
        return;
    case ReadVerdict::Unconfirmed:
        // While the endpoint list cannot be read, its retries show when the log is back.
        if (m_endpointsState.m_consecutiveFailures == 0 && !m_isProbing && now >= m_nextProbe) {
            probeLog();
        }
        return;
    }
}

ReadEvidence Follower::evidence(const OpenRead &read)
{
    Fleet::Offset end = std::max(m_knownEnd, m_parts.m_fleetState.declarations().configurationRevisionOffset());
    for (const Fleet::DeclaredWeights &declared : m_parts.m_fleetState.declarations().m_weights) {
        end = std::max(end, declared.m_offset + 1);
    }
    if (end > read.m_from && !m_overdueSince) {
        m_overdueSince = Core::Clock::now();
    }
    return ReadEvidence{read.m_sentAt, m_lastLossAt, m_lastAnsweredCallSentAt, m_overdueSince, m_parts.m_fleetState.declarationsConfirmedAsOf()};
}

void Follower::giveUpRead(const OpenRead &read)
{
    m_readsGivenUp.add();
    m_fruitlessReads += m_overdueSince ? 1 : 0;
    logRead(read, m_overdueSince ? "given up, it has not delivered a known record" : "given up, the log was out of reach meanwhile", m_knownEnd);
    m_openRead.reset();
    if (m_source.m_cancelAwait) {
        m_source.m_cancelAwait();
    }
    m_isUnsure = true;
    readDeclarations();
}

void Follower::probeLog()
{
    m_reads.add();
    m_probes.add();
    m_isProbing = true;
    OpenRead read;
    read.m_from = m_declarationsState.m_nextOffset;
    read.m_sentAt = Core::Clock::now();
    m_source.m_awaitDeclarations(read.m_from, read.m_waitLimit, [this, alive = m_isAlive, read](Core::Result<Fleet::Declarations> result) {
        if (*alive) {
            handleProbe(std::move(result), read);
        }
    });
}

void Follower::handleProbe(Core::Result<Fleet::Declarations> result, const OpenRead &read)
{
    m_isProbing = false;
    if (!result) {
        logRead(read, result.error().message(), 0);
        m_readsFailed.add();
        recordLoss();
        m_nextProbe = Core::Clock::now() + m_settings.m_maximumRetryDelay;
        return;
    }
    if (result.value().m_end > read.m_from) {
        logRead(read, "answered, the waiting read has missed records", result.value().m_end);
    }
    drawPatience();
    applyDeclarations(result.value(), read);
    checkOpenRead();
}

void Follower::recordLoss()
{
    m_lastLossAt = Core::Clock::now();
}

void Follower::recordAnswer(Core::Instant sentAt)
{
    m_lastAnsweredCallSentAt = std::max(m_lastAnsweredCallSentAt.value_or(sentAt), sentAt);
}

void Follower::hastenDeclarations()
{
    if (!m_openRead && m_declarationsState.m_consecutiveFailures > 0) {
        m_declarationsState.m_timer.cancel();
        readDeclarations();
    }
}

void Follower::logRead(const OpenRead &read, const std::string &outcome, Fleet::Offset end)
{
    const Core::Instant now = Core::Clock::now();
    Telemetry::LogLine line("log_read");
    line.text("what", "declarations").text("outcome", outcome).number("from", static_cast<std::int64_t>(read.m_from));
    line.number("end", static_cast<std::int64_t>(end)).number("wait_ms", static_cast<std::int64_t>(read.m_waitLimit.count()));
    line.number("took_ms", Core::secondsBetween(read.m_sentAt, now) * 1000);
    const std::optional<Core::Instant> &confirmed = m_parts.m_fleetState.declarationsConfirmedAsOf();
    if (confirmed) {
        line.number("confirmed_age_ms", Core::secondsBetween(*confirmed, now) * 1000);
    }
    m_parts.m_log.write(line);
}

void Follower::recordVersions(const Fleet::Declarations &declarations, bool isFirst)
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

}
