/// @file Logs that expire records, lose records or contain late checkpoints: state never reverts, and a new reader gets the complete state or none.

#include "Examples.h"
#include "LibControl/LogReconciliation.h"
#include "LibControl/Recovery.h"
#include "LibStandInLog/LogStore.h"

#include <catch2/catch.hpp>

using namespace Examples;

namespace {

constexpr const char *Stream = Control::ControlStream;

void append(StandIn::LogStore &log, const Control::Record &record)
{
    REQUIRE(log.append(Stream, Control::encodeRecord(record)));
}

void appendChange(StandIn::LogStore &log, int number)
{
    append(log, makePublishRecord("r" + std::to_string(number), static_cast<Control::Offset>(number - 1), makeTemplate("t", {account("a", '1', 1)})));
}

/// Returns the state of a reader that has followed the log to its end.
Control::ControlState followAll(StandIn::LogStore &log, Control::ControlState state)
{
    const Core::Result<Control::LogContinuation> continuation = Control::readContinuation(log, state);
    REQUIRE(continuation);
    REQUIRE(continuation.value().m_continuesHistory);
    for (const Protocol::LogRecord &record : continuation.value().m_records) {
        Control::applyRecord(state, record.m_offset, record.m_body);
    }
    return state;
}

Control::ControlState recoverState(StandIn::LogStore &log)
{
    const Core::Result<Control::RecoveredState> recovered = Control::recoverFromLog(log, Stream);
    REQUIRE(recovered);
    REQUIRE(recovered.value().m_state.has_value());
    return *recovered.value().m_state;
}

}

TEST_CASE("a new reader with a checkpoint and every record after it has the same state as one that read all records")
{
    StandIn::LogStore log;
    for (int number = 1; number <= 5; ++number) {
        appendChange(log, number);
    }
    const Control::ControlState atFive = recoverState(log);
    append(log, Control::makeCheckpoint(atFive, "e1", "c1"));
    append(log, makePublishRecord("r6", 5, makeTemplate("t", {account("a", '2', 1)})));
    const Control::ControlState old = followAll(log, atFive);
    log.expireRecordsBefore(5);
    REQUIRE(recoverState(log) == old);
    REQUIRE(old.m_checkpoint == 5);
    // Without the record at its position, nothing shows that the checkpoint belongs to this log's history.
    log.expireRecordsBefore(6);
    REQUIRE_FALSE(Control::recoverFromLog(log, Stream).value().m_state.has_value());
}

namespace {

/// A log that expires its oldest records just before the second read, as can happen under load.
class ExpiringLog : public Platform::Log
{
public:
    explicit ExpiringLog(StandIn::LogStore &log, Platform::Offset keptFrom)
        : m_log(log)
        , m_keptFrom(keptFrom)
    {
    }

    Core::Result<Platform::Offset> append(const std::string &stream, const std::string &body) override
    {
        return m_log.append(stream, body);
    }

    Core::Result<Platform::LogPage> read(const std::string &stream, Platform::Offset from, const Platform::ReadOptions &options) override
    {
        if (++m_reads == 2) {
            m_log.expireRecordsBefore(m_keptFrom);
        }
        return m_log.read(stream, from, options);
    }

private:
    StandIn::LogStore &m_log;
    const Platform::Offset m_keptFrom;
    int m_reads = 0;
};

}

TEST_CASE("records that expire while the log is read do not make a new reader fail")
{
    // Operators publish quickly, and the log keeps few records. The oldest expires between the read that finds the start of the
    // log and the read from there. If the publication failed because of that, the operator would have to repeat it.
    StandIn::LogStore log;
    for (int number = 1; number <= 5; ++number) {
        appendChange(log, number);
    }
    append(log, Control::makeCheckpoint(recoverState(log), "e1", "c1"));
    append(log, makePublishRecord("r6", 5, makeTemplate("t", {account("a", '2', 1)})));
    const Control::ControlState whole = recoverState(log);
    ExpiringLog expiring(log, 4);
    const Core::Result<Control::RecoveredState> recovered = Control::recoverFromLog(expiring, Stream);
    REQUIRE(recovered);
    REQUIRE(recovered.value().m_state.has_value());
    CHECK(*recovered.value().m_state == whole);
}

TEST_CASE("a new reader without a usable checkpoint is not ready, and does not start from defaults")
{
    // The log was down for longer than it keeps records. The remaining records follow a state that a new instance cannot know. If
    // they were taken for the complete history, an empty configuration would come into force.
    StandIn::LogStore log;
    for (int number = 1; number <= 5; ++number) {
        appendChange(log, number);
    }
    const Control::ControlState paused = recoverState(log);
    for (int number = 6; number <= 9; ++number) {
        appendChange(log, number);
    }
    log.expireRecordsBefore(8);
    REQUIRE_FALSE(Control::recoverFromLog(log, Stream).value().m_state.has_value());
    // A paused writer appends a checkpoint late. The records right after the checkpoint's position have expired.
    append(log, Control::makeCheckpoint(paused, "e1", "c1"));
    REQUIRE_FALSE(Control::recoverFromLog(log, Stream).value().m_state.has_value());
    REQUIRE_FALSE(Control::reconcile(log, Control::ControlState()).value().m_stateToAdopt.has_value());
}

TEST_CASE("a late checkpoint by a paused writer undoes no accepted change")
{
    // A writer is paused between reading its state and appending it, while changes are accepted.
    StandIn::LogStore log;
    appendChange(log, 1);
    const Control::ControlState paused = recoverState(log);
    append(log, Control::makeCheckpoint(paused, "e1", "c1"));
    appendChange(log, 2);
    const Control::ControlState current = recoverState(log);
    append(log, Control::makeCheckpoint(paused, "e1", "c2"));
    REQUIRE(followAll(log, current).m_templates == current.m_templates);
    REQUIRE(recoverState(log).m_templates == current.m_templates);
}

TEST_CASE("a checkpoint made in a history that the log has lost is not used")
{
    // A writer makes a checkpoint and is paused. The log loses records and assigns their offsets to others; then the checkpoint
    // is appended. A new instance that started from it would serve something that no other instance has.
    StandIn::LogStore log;
    appendChange(log, 1);
    append(log, makePublishRecord("lost", 0, makeTemplate("lost", {account("a", '7', 1)})));
    const Control::Record late = Control::makeCheckpoint(recoverState(log), "e1", "c1");
    log.dropRecordsFrom(2);
    append(log, makePublishRecord("other", 0, makeTemplate("other", {account("a", '8', 1)})));
    append(log, late);
    REQUIRE(recoverState(log).m_templates.contains("other"));
    REQUIRE_FALSE(recoverState(log).m_templates.contains("lost"));
}

TEST_CASE("a checkpoint that does not match its digest is not used")
{
    StandIn::LogStore log;
    appendChange(log, 1);
    Control::Record record = Control::makeCheckpoint(recoverState(log), "e1", "c1");
    std::get<Control::Checkpoint>(record.m_change).m_state.back() ^= 1;
    append(log, record);
    log.expireRecordsBefore(2);
    REQUIRE_FALSE(Control::recoverFromLog(log, Stream).value().m_state.has_value());
}

TEST_CASE("accepted records that the log has lost are not undone")
{
    // The log loses its newest records in an outage and assigns their offsets to others. The change was reported as accepted and
    // is in force. A reader that continued with the log would drop it, and a reader that compared offsets only would not notice.
    StandIn::LogStore log;
    appendChange(log, 1);
    append(log, makePublishRecord("lost", 0, makeTemplate("kept", {account("a", '7', 1)})));
    const Control::ControlState inForce = recoverState(log);
    log.dropRecordsFrom(2);
    SECTION("nothing was appended since")
    {
    }
    SECTION("other records have the lost record's offset and the next one")
    {
        append(log, makePublishRecord("other", 0, makeTemplate("other", {account("a", '8', 1)})));
        append(log, makePublishRecord("other2", 0, makeTemplate("other2", {account("a", '9', 1)})));
    }
    REQUIRE_FALSE(Control::readContinuation(log, inForce).value().m_continuesHistory);
    const std::optional<Control::ControlState> merged = Control::reconcile(log, inForce).value().m_stateToRestore;
    REQUIRE(merged.has_value());
    append(log, Control::makeRestore(*merged, "e1", "restore"));

    const Control::ControlState restored = recoverState(log);
    REQUIRE(Control::covers(restored, inForce));
    REQUIRE(restored.m_applied > inForce.m_applied);
    REQUIRE(restored.m_templates.contains("kept"));
    REQUIRE(Control::reconcile(log, inForce).value().m_stateToAdopt.has_value());
    // The next change gets a revision above all that were ever assigned.
    append(log, makePublishRecord("next", restored.m_templates.at("t").m_revision, makeTemplate("t", {account("a", '3', 1)})));
    REQUIRE(recoverState(log).m_templates.at("t").m_revision > restored.m_applied);
}

TEST_CASE("a restore is refused if another record came first")
{
    // Two entries restore state at the same time, or an operator's record comes between reading and restoring. If the restore
    // were accepted, it would undo that record.
    StandIn::LogStore log;
    appendChange(log, 1);
    Control::ControlState inForce = recoverState(log);
    applyNext(inForce, makePublishRecord("lost", 0, makeTemplate("kept", {account("a", '7', 1)})));
    const Control::Record restore = Control::makeRestore(*Control::reconcile(log, inForce).value().m_stateToRestore, "e1", "restore");
    append(log, makePublishRecord("between", 1, makeTemplate("t", {account("a", '5', 1)})));
    append(log, restore);
    const Control::ControlState state = recoverState(log);
    REQUIRE(state.m_templates.at("t").m_revision == 2);
    REQUIRE_FALSE(state.m_templates.contains("kept"));
    append(log, Control::makeRestore(*Control::reconcile(log, inForce).value().m_stateToRestore, "e1", "again"));
    REQUIRE(recoverState(log).m_templates.size() == 2);
}

TEST_CASE("an outage longer than the retention time loses nothing that was in force")
{
    // While the log is down, its records expire, and the checkpoint with them. A process that has the state restores it; a new
    // process is not ready until then.
    StandIn::LogStore log;
    for (int number = 1; number <= 5; ++number) {
        appendChange(log, number);
    }
    const Control::ControlState inForce = recoverState(log);
    appendChange(log, 6);
    appendChange(log, 7);
    log.expireRecordsBefore(8);
    const Control::Reconciliation reconciliation = Control::reconcile(log, inForce).value();
    REQUIRE(reconciliation.m_stateToRestore.has_value());
    append(log, Control::makeRestore(*reconciliation.m_stateToRestore, "e1", "restore"));
    REQUIRE(Control::covers(recoverState(log), inForce));
}

TEST_CASE("a snapshot that would undo an accepted change is refused")
{
    Telemetry::Metrics metrics;
    Control::StateStore store(metrics);
    Control::ControlState ours;
    applyNext(ours, makePublishRecord("r1", 0, makeTemplate("kept", {account("a", '1', 1)})));
    REQUIRE(store.applySnapshot(ours) == Control::ApplyResult::Applied);
    Control::ControlState other;
    applyNext(other, makePublishRecord("x1", 0, makeTemplate("other", {account("a", '1', 1)})));
    applyNext(other, makePublishRecord("x2", 0, makeTemplate("other2", {account("a", '1', 1)})));
    REQUIRE(store.applySnapshot(other) == Control::ApplyResult::Refused);
    REQUIRE(store.current()->m_templates.contains("kept"));
    REQUIRE(metrics.counter("control_snapshots_refused_total").value() == 1);
}
