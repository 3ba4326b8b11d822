/// @file A log that expires, loses records or brings late checkpoints: state never reverts, and a fresh reader knows all or nothing.

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

/// A reader that has followed the log to its end.
Control::ControlState followAll(StandIn::LogStore &log, Control::ControlState state)
{
    const Core::Result<Control::LogContinuation> following = Control::readContinuation(log, state);
    REQUIRE(following);
    REQUIRE(following.value().m_continuesHistory);
    for (const Protocol::LogRecord &record : following.value().m_records) {
        Control::applyRecord(state, record.m_offset, record.m_body);
    }
    return state;
}

Control::ControlState readWhole(StandIn::LogStore &log)
{
    const Core::Result<Control::RecoveredState> fresh = Control::recoverFromLog(log, Stream);
    REQUIRE(fresh);
    REQUIRE(fresh.value().m_state.has_value());
    return *fresh.value().m_state;
}

}

TEST_CASE("a fresh reader with a checkpoint and every record after it has the same state as one that saw all")
{
    StandIn::LogStore log;
    for (int number = 1; number <= 5; ++number) {
        appendChange(log, number);
    }
    const Control::ControlState atFive = readWhole(log);
    append(log, Control::makeCheckpoint(atFive, "e1", "c1"));
    append(log, makePublishRecord("r6", 5, makeTemplate("t", {account("a", '2', 1)})));
    const Control::ControlState old = followAll(log, atFive);
    log.expireRecordsBefore(5);
    REQUIRE(readWhole(log) == old);
    REQUIRE(old.m_checkpoint == 5);
    // Without the record at its position, nothing shows that the checkpoint belongs to this log's history.
    log.expireRecordsBefore(6);
    REQUIRE_FALSE(Control::recoverFromLog(log, Stream).value().m_state.has_value());
}

namespace {

/// A log that expires its oldest records just before the second reading of a page, as one under load does.
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

TEST_CASE("records that expire while the log is read do not fail a fresh reader")
{
    // Operators publish quickly, and the log keeps few records. The oldest expires between the look at where the log begins and the reading from there. A
    // publication that failed for it would have to be repeated by hand.
    StandIn::LogStore log;
    for (int number = 1; number <= 5; ++number) {
        appendChange(log, number);
    }
    append(log, Control::makeCheckpoint(readWhole(log), "e1", "c1"));
    append(log, makePublishRecord("r6", 5, makeTemplate("t", {account("a", '2', 1)})));
    const Control::ControlState whole = readWhole(log);
    ExpiringLog expiring(log, 4);
    const Core::Result<Control::RecoveredState> fresh = Control::recoverFromLog(expiring, Stream);
    REQUIRE(fresh);
    REQUIRE(fresh.value().m_state.has_value());
    CHECK(*fresh.value().m_state == whole);
}

TEST_CASE("a fresh reader without a usable checkpoint is not ready, and does not start from defaults")
{
    // The log was down for longer than it keeps records. What is left follows a state that a fresh instance cannot know.
    // Taking the rest for the whole would put an empty configuration in force.
    StandIn::LogStore log;
    for (int number = 1; number <= 5; ++number) {
        appendChange(log, number);
    }
    const Control::ControlState paused = readWhole(log);
    for (int number = 6; number <= 9; ++number) {
        appendChange(log, number);
    }
    log.expireRecordsBefore(8);
    REQUIRE_FALSE(Control::recoverFromLog(log, Stream).value().m_state.has_value());
    // A checkpoint that a paused writer appends late stands for a position whose next records are gone.
    append(log, Control::makeCheckpoint(paused, "e1", "c1"));
    REQUIRE_FALSE(Control::recoverFromLog(log, Stream).value().m_state.has_value());
    REQUIRE_FALSE(Control::reconcile(log, Control::ControlState()).value().m_stateToAdopt.has_value());
}

TEST_CASE("a late checkpoint by a paused writer takes nothing back")
{
    // A writer is paused between reading its state and appending it, while changes are accepted.
    StandIn::LogStore log;
    appendChange(log, 1);
    const Control::ControlState paused = readWhole(log);
    append(log, Control::makeCheckpoint(paused, "e1", "c1"));
    appendChange(log, 2);
    const Control::ControlState current = readWhole(log);
    append(log, Control::makeCheckpoint(paused, "e1", "c2"));
    REQUIRE(followAll(log, current).m_templates == current.m_templates);
    REQUIRE(readWhole(log).m_templates == current.m_templates);
}

TEST_CASE("a checkpoint made in a history that the log has lost is not used")
{
    // A writer makes a checkpoint and is paused. The log loses records and others take their offsets; then the checkpoint arrives.
    // A fresh instance that began with it would serve something that no other instance has.
    StandIn::LogStore log;
    appendChange(log, 1);
    append(log, makePublishRecord("lost", 0, makeTemplate("lost", {account("a", '7', 1)})));
    const Control::Record late = Control::makeCheckpoint(readWhole(log), "e1", "c1");
    log.dropRecordsFrom(2);
    append(log, makePublishRecord("other", 0, makeTemplate("other", {account("a", '8', 1)})));
    append(log, late);
    REQUIRE(readWhole(log).m_templates.contains("other"));
    REQUIRE_FALSE(readWhole(log).m_templates.contains("lost"));
}

TEST_CASE("a checkpoint that does not match its digest is not used")
{
    StandIn::LogStore log;
    appendChange(log, 1);
    Control::Record record = Control::makeCheckpoint(readWhole(log), "e1", "c1");
    std::get<Control::Checkpoint>(record.m_change).m_state.back() ^= 1;
    append(log, record);
    log.expireRecordsBefore(2);
    REQUIRE_FALSE(Control::recoverFromLog(log, Stream).value().m_state.has_value());
}

TEST_CASE("a log that comes back without accepted records does not take them back")
{
    // The log loses its newest records in an outage and gives their offsets to others. The change was reported as accepted and
    // is in force; a reader that went on with the log would drop it, and one that compared offsets only would not notice.
    StandIn::LogStore log;
    appendChange(log, 1);
    append(log, makePublishRecord("lost", 0, makeTemplate("kept", {account("a", '7', 1)})));
    const Control::ControlState inForce = readWhole(log);
    log.dropRecordsFrom(2);
    SECTION("nothing was appended since")
    {
    }
    SECTION("other records took the lost one's offset and the next")
    {
        append(log, makePublishRecord("other", 0, makeTemplate("other", {account("a", '8', 1)})));
        append(log, makePublishRecord("other2", 0, makeTemplate("other2", {account("a", '9', 1)})));
    }
    REQUIRE_FALSE(Control::readContinuation(log, inForce).value().m_continuesHistory);
    const std::optional<Control::ControlState> joined = Control::reconcile(log, inForce).value().m_stateToRestore;
    REQUIRE(joined.has_value());
    append(log, Control::makeRestore(*joined, "e1", "restore"));

    const Control::ControlState restored = readWhole(log);
    REQUIRE(Control::covers(restored, inForce));
    REQUIRE(restored.m_applied > inForce.m_applied);
    REQUIRE(restored.m_templates.contains("kept"));
    REQUIRE(Control::reconcile(log, inForce).value().m_stateToAdopt.has_value());
    // The next change goes on above everything that was ever handed out.
    append(log, makePublishRecord("next", restored.m_templates.at("t").m_revision, makeTemplate("t", {account("a", '3', 1)})));
    REQUIRE(readWhole(log).m_templates.at("t").m_revision > restored.m_applied);
}

TEST_CASE("a restore that was overtaken is refused")
{
    // Two entries put state back at once, or an operator's record comes between reading and restoring. Taken, it would undo that record.
    StandIn::LogStore log;
    appendChange(log, 1);
    Control::ControlState inForce = readWhole(log);
    applyNext(inForce, makePublishRecord("lost", 0, makeTemplate("kept", {account("a", '7', 1)})));
    const Control::Record restore = Control::makeRestore(*Control::reconcile(log, inForce).value().m_stateToRestore, "e1", "restore");
    append(log, makePublishRecord("between", 1, makeTemplate("t", {account("a", '5', 1)})));
    append(log, restore);
    const Control::ControlState state = readWhole(log);
    REQUIRE(state.m_templates.at("t").m_revision == 2);
    REQUIRE_FALSE(state.m_templates.contains("kept"));
    append(log, Control::makeRestore(*Control::reconcile(log, inForce).value().m_stateToRestore, "e1", "again"));
    REQUIRE(readWhole(log).m_templates.size() == 2);
}

TEST_CASE("an outage longer than retention costs nothing that was in force")
{
    // While the log is away its records expire, the checkpoint with them. A process that has state puts it back; a fresh one
    // is not ready until then.
    StandIn::LogStore log;
    for (int number = 1; number <= 5; ++number) {
        appendChange(log, number);
    }
    const Control::ControlState inForce = readWhole(log);
    appendChange(log, 6);
    appendChange(log, 7);
    log.expireRecordsBefore(8);
    const Control::Reconciliation found = Control::reconcile(log, inForce).value();
    REQUIRE(found.m_stateToRestore.has_value());
    append(log, Control::makeRestore(*found.m_stateToRestore, "e1", "restore"));
    REQUIRE(Control::covers(readWhole(log), inForce));
}

TEST_CASE("a snapshot that would take something back is refused")
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
