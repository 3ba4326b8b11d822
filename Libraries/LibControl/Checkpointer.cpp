/// @file Implementation of the checkpointer.

#include "LibControl/Checkpointer.h"
#include "LibControl/Records.h"
#include "LibCore/Random.h"

namespace Control {

bool isCheckpointDue(const CheckpointStatus &status, const CheckpointerSettings &settings)
{
    if (status.m_position == 0) {
        return false;
    }
    // The record limit grows with the rank too. When many records arrive, the entry of rank 0 appends a checkpoint before it is due on the others.
    const Offset recordLimit = settings.m_recordInterval + status.m_rank * (settings.m_recordInterval / 4);
    const Core::Duration timeLimit = settings.m_interval + settings.m_rankDelay * static_cast<std::int64_t>(status.m_rank);
    return status.m_position - status.m_lastCheckpoint >= recordLimit || status.m_sinceLast >= timeLimit;
}

std::size_t rankAmongEntries(const Protocol::Member &self, std::span<const Protocol::Member> members, const std::string &key)
{
    const std::uint64_t own = Core::rendezvousWeight(key, self.m_id);
    std::size_t rank = 0;
    for (const Protocol::Member &member : members) {
        const bool isOtherLiveEntry = member.m_role == Protocol::Role::Entry && !member.m_leaving && member.m_id != self.m_id;
        if (isOtherLiveEntry && Core::rendezvousWeight(key, member.m_id) > own) {
            ++rank;
        }
    }
    return rank;
}

Checkpointer::Checkpointer(Platform::Log &log, StateStore &store, Protocol::Member self, Telemetry::Metrics &metrics, CheckpointerSettings settings)
    : m_log(log)
    , m_store(store)
    , m_self(std::move(self))
    , m_settings(std::move(settings))
    , m_appended(metrics.counter("control_checkpoints_appended_total"))
    , m_failures(metrics.counter("control_checkpoint_failures_total"))
    , m_lastChange(Core::Clock::now())
{
}

Checkpointer::~Checkpointer()
{
    stop();
}

void Checkpointer::start()
{
    m_worker.start([this] { return runOnce(); });
}

void Checkpointer::stop()
{
    m_worker.stop();
}

Core::Duration Checkpointer::runOnce()
{
    const std::shared_ptr<const ControlState> state = m_store.current();
    if (state->m_checkpoint > m_lastCheckpoint) {
        m_lastCheckpoint = state->m_checkpoint;
        m_lastChange = Core::Clock::now();
    }
    const std::vector<Protocol::Member> members = m_store.members();
    CheckpointStatus status;
    status.m_position = state->m_position;
    status.m_lastCheckpoint = m_lastCheckpoint;
    status.m_sinceLast = std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - m_lastChange);
    status.m_rank = rankAmongEntries(m_self, members, "checkpoint");
    if (!isCheckpointDue(status, m_settings)) {
        return m_settings.m_checkInterval;
    }
    const Record record = makeCheckpoint(*state, m_self.m_id, Core::randomIdentifier());
    const Core::Result<Offset> appended = m_log.append(ControlStream, encodeRecord(record));
    if (!appended) {
        m_failures.add();
        return m_settings.m_checkInterval;
    }
    m_appended.add();
    m_lastCheckpoint = state->m_position;
    m_lastChange = Core::Clock::now();
    return m_settings.m_checkInterval;
}

}
