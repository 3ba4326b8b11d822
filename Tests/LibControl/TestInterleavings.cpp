/// @file Model check over every order of competing operators, lost answers, expiry, loss of records, a paused checkpoint writer and restarts.

#include "Examples.h"
#include "Explorer.h"
#include "LibControl/LogReconciliation.h"
#include "LibControl/Recovery.h"
#include "LibCore/Random.h"

#include <catch2/catch.hpp>

using namespace Examples;

namespace {

/// The log as part of the model's state; it is copied with the state.
struct ModelLog
{
    Platform::Offset m_first = 1;
    std::vector<std::string> m_records;

    Platform::Offset next() const
    {
        return m_first + m_records.size();
    }
};

/// Gives the code under test access to the model's log.
class ModelLogAccess : public Platform::Log
{
public:
    explicit ModelLogAccess(ModelLog &log)
        : m_log(log)
    {
    }

    Core::Result<Platform::Offset> append(const std::string &, const std::string &body) override
    {
        m_log.m_records.push_back(body);
        return m_log.next() - 1;
    }

    Core::Result<Platform::LogPage> read(const std::string &, Platform::Offset from, const Platform::ReadOptions &) override
    {
        Platform::LogPage page{m_log.m_first, m_log.next(), {}};
        for (Platform::Offset offset = from; offset >= m_log.m_first && offset < m_log.next(); ++offset) {
            page.m_records.push_back(Protocol::LogRecord{offset, m_log.m_records[offset - m_log.m_first]});
        }
        return page;
    }

private:
    ModelLog &m_log;
};

struct Reader
{
    Control::ControlState m_state;
    bool m_hasReverted = false; ///< The reader replaced its state by one that does not cover the former state.
};

struct Operator
{
    bool m_hasRead = false;
    Control::Offset m_basedOn = 0;
    int m_appends = 0;
};

struct World
{
    ModelLog m_log;
    std::array<Reader, 2> m_readers;
    std::array<Operator, 2> m_operators;
    std::optional<Control::Record> m_checkpoint; ///< Made and not appended yet.
    std::optional<Control::Record> m_restore; ///< Made and not appended yet.
    int m_expiredRecords = 0;
    int m_lostRecords = 0;
    int m_restarts = 0;
    int m_restores = 0;
};

void adoptState(Reader &reader, Control::ControlState state)
{
    reader.m_hasReverted = reader.m_hasReverted || !Control::covers(state, reader.m_state) || state.m_applied < reader.m_state.m_applied;
    reader.m_state = std::move(state);
}

/// Returns the reader's state after the rest of the log; empty if the log does not continue the state, or undoes something accepted.
std::optional<Control::ControlState> continueState(World &world, const Reader &reader)
{
    ModelLogAccess log(world.m_log);
    if (reader.m_state.m_position == 0) {
        return std::nullopt;
    }
    const Control::LogContinuation continuation = Control::readContinuation(log, reader.m_state).value();
    if (!continuation.m_continuesHistory) {
        return std::nullopt;
    }
    Control::ControlState state = reader.m_state;
    for (const Protocol::LogRecord &record : continuation.m_records) {
        Control::applyRecord(state, record.m_offset, record.m_body);
    }
    return Control::covers(state, reader.m_state) ? std::optional<Control::ControlState>(std::move(state)) : std::nullopt;
}

/// Follows the log as an entry does. Returns whether that changed the reader's state.
bool followLog(World &world, Reader &reader)
{
    ModelLogAccess log(world.m_log);
    const std::string chain = reader.m_state.m_chain;
    std::optional<Control::ControlState> continued = continueState(world, reader);
    if (continued) {
        adoptState(reader, std::move(*continued));
        return reader.m_state.m_chain != chain;
    }
    Control::Reconciliation reconciliation = Control::reconcile(log, reader.m_state).value();
    if (reconciliation.m_stateToAdopt) {
        adoptState(reader, std::move(*reconciliation.m_stateToAdopt));
    }
    return reader.m_state.m_chain != chain;
}

/// Returns the record with which an entry would restore its state; empty if the log continues or covers the state.
std::optional<Control::Record> makeRestoreFor(World &world, const Reader &reader)
{
    ModelLogAccess log(world.m_log);
    const Control::Reconciliation reconciliation = Control::reconcile(log, reader.m_state).value();
    if (continueState(world, reader) || !reconciliation.m_stateToRestore) {
        return std::nullopt;
    }
    return Control::makeRestore(*reconciliation.m_stateToRestore, "e", "restore-" + std::to_string(world.m_restores));
}

bool readAsOperator(World &world, std::size_t number)
{
    ModelLogAccess log(world.m_log);
    Operator &reading = world.m_operators.at(number);
    const Control::RecoveredState recovered = Control::recoverFromLog(log, Control::ControlStream).value();
    if (reading.m_hasRead || !recovered.m_state) {
        return false;
    }
    reading.m_hasRead = true;
    reading.m_basedOn = Control::templateRevision(*recovered.m_state, "t");
    return true;
}

/// The second append repeats the same record, as after a lost answer.
bool appendAsOperator(World &world, std::size_t number)
{
    Operator &writing = world.m_operators.at(number);
    if (!writing.m_hasRead || writing.m_appends == 2) {
        return false;
    }
    ++writing.m_appends;
    const std::string name = "op" + std::to_string(number);
    const char digest = static_cast<char>('1' + number);
    world.m_log.m_records.push_back(Control::encodeRecord(makePublishRecord(name, writing.m_basedOn, makeTemplate("t", {account("a", digest, 1)}), name)));
    return true;
}

/// All possible events. Each can occur a limited number of times.
std::vector<Support::Step<World>> steps()
{
    std::vector<Support::Step<World>> steps;
    for (const std::size_t number : {std::size_t(0), std::size_t(1)}) {
        const std::string suffix = " " + std::to_string(number);
        steps.push_back({"operator reads" + suffix, [number](World &world) { return readAsOperator(world, number); }});
        steps.push_back({"operator appends" + suffix, [number](World &world) { return appendAsOperator(world, number); }});
        steps.push_back({"reader follows" + suffix, [number](World &world) { return followLog(world, world.m_readers.at(number)); }});
    }
    steps.push_back({"reader 1 restarts", [](World &world) {
                         if (world.m_restarts == 1 || world.m_readers[1].m_state.m_applied == 0) {
                             return false;
                         }
                         ++world.m_restarts;
                         world.m_readers[1] = Reader();
                         return true;
                     }});
    steps.push_back({"checkpoint is made", [](World &world) {
                         if (world.m_checkpoint || world.m_readers[0].m_state.m_applied == 0) {
                             return false;
                         }
                         world.m_checkpoint = Control::makeCheckpoint(world.m_readers[0].m_state, "e0", "checkpoint");
                         return true;
                     }});
    steps.push_back({"checkpoint is appended", [](World &world) {
                         if (!world.m_checkpoint) {
                             return false;
                         }
                         world.m_log.m_records.push_back(Control::encodeRecord(*world.m_checkpoint));
                         return true;
                     }});
    steps.push_back({"log expires a record", [](World &world) {
                         if (world.m_expiredRecords == 2 || world.m_log.m_records.empty()) {
                             return false;
                         }
                         ++world.m_expiredRecords;
                         ++world.m_log.m_first;
                         world.m_log.m_records.erase(world.m_log.m_records.begin());
                         return true;
                     }});
    steps.push_back({"log loses a record", [](World &world) {
                         if (world.m_lostRecords == 1 || world.m_log.m_records.empty()) {
                             return false;
                         }
                         ++world.m_lostRecords;
                         world.m_log.m_records.pop_back();
                         return true;
                     }});
    steps.push_back({"restore is made", [](World &world) {
                         if (world.m_restore || world.m_restores == 2) {
                             return false;
                         }
                         world.m_restore = makeRestoreFor(world, world.m_readers[0]);
                         world.m_restores += world.m_restore ? 1 : 0;
                         return world.m_restore.has_value();
                     }});
    steps.push_back({"restore is appended", [](World &world) {
                         if (!world.m_restore) {
                             return false;
                         }
                         world.m_log.m_records.push_back(Control::encodeRecord(*world.m_restore));
                         world.m_restore.reset();
                         return true;
                     }});
    return steps;
}

/// Returns whether the changes of both operators were accepted. Only one may be if both are based on the same revision.
bool areBothChangesAccepted(const Control::ControlState &state)
{
    const Control::RecordOutcome *first = Control::findOutcome(state, "op0");
    const Control::RecordOutcome *second = Control::findOutcome(state, "op1");
    return first && second && first->m_accepted && second->m_accepted;
}

/// Lets both readers follow the log and restore state until nothing changes. Returns false if they do not end with equal states.
bool converges(World world)
{
    constexpr int maximumRounds = 8;
    for (int round = 0; round < maximumRounds; ++round) {
        bool hasChanged = false;
        for (Reader &reader : world.m_readers) {
            hasChanged = followLog(world, reader) || hasChanged;
            const std::optional<Control::Record> restore = makeRestoreFor(world, reader);
            if (restore) {
                ++world.m_restores;
                world.m_log.m_records.push_back(Control::encodeRecord(*restore));
                hasChanged = true;
            }
        }
        if (!hasChanged) {
            break;
        }
    }
    const Control::ControlState &first = world.m_readers[0].m_state;
    const Control::ControlState &second = world.m_readers[1].m_state;
    const bool isOneNotReady = first.m_applied == 0 || second.m_applied == 0;
    return isOneNotReady || first == second;
}

std::string findViolation(const World &world)
{
    for (const Reader &reader : world.m_readers) {
        if (reader.m_hasReverted) {
            return "an accepted change was undone";
        }
        if (world.m_lostRecords == 0 && areBothChangesAccepted(reader.m_state) && world.m_operators[0].m_basedOn == world.m_operators[1].m_basedOn) {
            return "two competing changes were both accepted";
        }
    }
    const bool isSameHistory = world.m_readers[0].m_state.m_chain == world.m_readers[1].m_state.m_chain;
    if (isSameHistory && world.m_readers[0].m_state != world.m_readers[1].m_state) {
        return "the same history led to different states";
    }
    return converges(world) ? "" : "readers do not converge";
}

std::string stateKey(const World &world)
{
    std::string key = std::to_string(world.m_log.m_first);
    for (const std::string &record : world.m_log.m_records) {
        key += "|" + std::to_string(Core::stableHash(record));
    }
    for (const Reader &reader : world.m_readers) {
        key += "/" + reader.m_state.m_chain;
    }
    for (const Operator &one : world.m_operators) {
        key += "/" + std::to_string(one.m_hasRead) + ":" + std::to_string(one.m_basedOn) + ":" + std::to_string(one.m_appends);
    }
    key += "/" + (world.m_checkpoint ? std::to_string(Core::stableHash(Control::encodeRecord(*world.m_checkpoint))) : "-");
    key += "/" + (world.m_restore ? std::to_string(Core::stableHash(Control::encodeRecord(*world.m_restore))) : "-");
    return key + "/" + std::to_string(world.m_expiredRecords) + std::to_string(world.m_lostRecords) + std::to_string(world.m_restarts)
        + std::to_string(world.m_restores);
}

}

TEST_CASE("no order of events undoes an accepted change or keeps readers from converging")
{
    // Each of these faults is harmless alone. Two of them together could leave one instance with a different configuration from
    // the rest, which a client account would notice.
    const Support::Model<World> model{steps(), findViolation, stateKey};
    Support::Explorer<World> explorer(model);
    constexpr int depth = 8;
    const Support::Exploration exploration = explorer.explore(World(), depth);
    std::string trace;
    for (const std::string &step : exploration.m_trace) {
        trace += step + "; ";
    }
    INFO(exploration.m_states << " states; " << exploration.m_violation << ": " << trace);
    REQUIRE(exploration.m_violation.empty());
    REQUIRE(exploration.m_states > 1000);
    WARN(exploration.m_states << " states, " << exploration.m_steps << " steps");
}
