/// @file The part of the entry process that joins its quarantine with the relay, the other entries, the reports of engines and the operators.

#include "LibServing/EntryProcess.h"

namespace Serving {

namespace {

/// Time by which a report may be older than it looks, since it may have been passed on by another entry.
constexpr Core::Duration MaximumReportDelay{1000};

std::string_view verdictState(const Quarantine::Verdict &verdict)
{
    return verdict.m_isLifted ? "lifted" : "refused";
}

std::string_view changeState(const Quarantine::VerdictChange &change)
{
    return change.m_hasEnded ? "ended" : verdictState(change.m_verdict);
}

}

void EntryProcess::startQuarantine()
{
    m_relay.onQuarantineChanged([this] { onQuarantineChanged(); });
    Gossip::QuarantineAccess access;
    access.m_sample = [this](Quarantine::SampleSize size) { return m_quarantine.sample(size, Core::Clock::now(), m_random); };
    access.m_takeNews = [this](Quarantine::SampleSize size) { return m_quarantine.takeNews(size, Core::Clock::now()); };
    access.m_hasNews = [this] { return m_quarantine.hasNews(); };
    access.m_takeRequestNews = [this] { return m_quarantine.takeRequestNews(Core::Clock::now()); };
    access.m_hasRequestNews = [this] { return m_quarantine.hasRequestNews(); };
    access.m_state = [this] { return m_quarantine.state(Core::Clock::now()); };
    access.m_verdictDigest = [this] { return m_quarantine.verdicts().digest(); };
    access.m_merge = [this](const Quarantine::Observations &observations) {
        m_quarantine.merge(observations, Core::Clock::now());
        onQuarantineChanged();
    };
    m_gossip.setQuarantine(std::move(access));
    m_admin.addDumpSection("quarantine", [this] {
        Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
        for (const Quarantine::Verdict &verdict : m_quarantine.verdicts().verdicts(Core::Clock::now())) {
            object->set(verdict.m_part.m_service + "/" + verdict.m_part.m_id, std::string(verdictState(verdict)));
        }
        return object;
    });
}

void EntryProcess::onQuarantineChanged()
{
    for (const Quarantine::VerdictChange &change : m_quarantine.verdicts().takeChanges()) {
        const Quarantine::Verdict &verdict = change.m_verdict;
        Telemetry::LogLine line("quarantine");
        line.text("service", verdict.m_part.m_service).text("part", verdict.m_part.m_id).text("state", changeState(change));
        line.flag("all_accounts", !verdict.m_account).number("revision", std::int64_t{verdict.m_revision});
        line.text("source", change.m_isFromPeer ? "peer" : "own").number("crashes", static_cast<std::int64_t>(change.m_crashes));
        line.number("incarnations", static_cast<std::int64_t>(verdict.m_incarnations.size()))
            .number("own_runs", static_cast<std::int64_t>(m_quarantine.record(verdict.m_part).m_runs));
        line.number("since_first_crash_ms", std::int64_t{change.m_sinceFirstCrash.count()});
        m_log.write(line);
    }
    if (m_quarantine.hasNews()) {
        m_gossip.announceQuarantine();
    }
    if (m_quarantine.hasRequestNews()) {
        m_gossip.announceRequests();
    }
}

void EntryProcess::recordLiveness(const Fleet::Endpoint &endpoint, const Gossip::EngineUpdate &update, Core::Instant now)
{
    if (update.m_startedMilliseconds != 0) {
        m_quarantine.recordAlive(Quarantine::incarnationOf(endpoint.m_id, endpoint.m_startedMilliseconds), now - MaximumReportDelay);
    }
}

void EntryProcess::liftVerdicts(const std::vector<std::string> &parts)
{
    for (const std::string &name : parts) {
        const std::size_t slash = name.rfind('/');
        if (slash != std::string::npos) {
            m_quarantine.verdicts().lift(Quarantine::PromptPart{name.substr(0, slash), name.substr(slash + 1)}, Core::Clock::now());
        }
    }
    onQuarantineChanged();
}

}
