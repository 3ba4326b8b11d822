/// @file Model check: every order of racing operators, lost answers, expiry, a log that loses records, a paused checkpoint writer and restarts.

#include "Examples.h"
#include "Explorer.h"
#include "LibControl/LogReconciliation.h"
#include "LibControl/Recovery.h"
#include "LibCore/Random.h"

#include <catch2/catch.hpp>

using namespace Examples;

namespace {

/// The log as part of the model's state: copied with it.
struct ModelLog
{
    Platform::Offset m_first = 1;
    std::vector<std::string> m_records;

    Platform::Offset next() const
    {
        return m_first + m_records.size();
    }
};

/// Lets the code under test read and append to the model's log.
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
    bool m_hasReverted = false; ///< It exchanged its state for one that does not cover it.
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
    int m_expired = 0;
    int m_lost = 0;
    int m_restarts = 0;
    int m_restores = 0;
};

void adopt(Reader &reader, Control::ControlState state)
{
    reader.m_hasReverted = reader.m_hasReverted || !Control::covers(state, reader.m_state) || state.m_applied < reader.m_state.m_applied;
    reader.m_state = std::move(state);
}

/// The state that the log leads to from the reader's; empty if the log does not continue it, or takes something back.
std::optional<Control::ControlState> continuation(World &world, const Reader &reader)
{
    ModelLogAccess log(world.m_log);
    if (reader.m_state.m_position == 0) {
        return std::nullopt;
    }
    const Control::LogContinuation following = Control::readContinuation(log, reader.m_state).value();
    if (!following.m_continuesHistory) {
        return std::nullopt;
    }
    Control::ControlState state = reader.m_state;
    for (const Protocol::LogRecord &record : following.m_records) {
        Control::applyRecord(state, record.m_offset, record.m_body);
    }
    return Control::covers(state, reader.m_state) ? std::optional<Control::ControlState>(std::move(state)) : std::nullopt;
}

/// Follows the log as an entry does; true if that changed anything.
bool follow(World &world, Reader &reader)
{
    ModelLogAccess log(world.m_log);
    const std::string chain = reader.m_state.m_chain;
    std::optional<Control::ControlState> continued = continuation(world, reader);
    if (continued) {
        adopt(reader, std::move(*continued));
        return reader.m_state.m_chain != chain;
    }
    Control::Reconciliation found = Control::reconcile(log, reader.m_state).value();
    if (found.m_stateToAdopt) {
        adopt(reader, std::move(*found.m_stateToAdopt));
    }
    return reader.m_state.m_chain != chain;
}

/// What an entry would put back; empty if the log continues or covers its state.
std::optional<Control::Record> restoreFor(World &world, const Reader &reader)
{
    ModelLogAccess log(world.m_log);
    const Control::Reconciliation found = Control::reconcile(log, reader.m_state).value();
    if (continuation(world, reader) || !found.m_stateToRestore) {
        return std::nullopt;
    }
    return Control::makeRestore(*found.m_stateToRestore, "e", "restore-" + std::to_string(world.m_restores));
}

bool operatorReads(World &world, std::size_t number)
{
    ModelLogAccess log(world.m_log);
    Operator &reading = world.m_operators.at(number);
    const Control::RecoveredState fresh = Control::recoverFromLog(log, Control::ControlStream).value();
    if (reading.m_hasRead || !fresh.m_state) {
        return false;
    }
    reading.m_hasRead = true;
    reading.m_basedOn = Control::templateRevision(*fresh.m_state, "t");
    return true;
}

/// The second append is the same record again, after an answer that was lost.
bool operatorAppends(World &world, std::size_t number)
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

/// Everything that can happen, each a few times.
std::vector<Support::Step<World>> steps()
{
    std::vector<Support::Step<World>> steps;
    for (const std::size_t number : {std::size_t(0), std::size_t(1)}) {
        const std::string suffix = " " + std::to_string(number);
        steps.push_back({"operator reads" + suffix, [number](World &world) { return operatorReads(world, number); }});
        steps.push_back({"operator appends" + suffix, [number](World &world) { return operatorAppends(world, number); }});
        steps.push_back({"reader follows" + suffix, [number](World &world) { return follow(world, world.m_readers.at(number)); }});
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
                         if (world.m_expired == 2 || world.m_log.m_records.empty()) {
                             return false;
                         }
                         ++world.m_expired;
                         ++world.m_log.m_first;
                         world.m_log.m_records.erase(world.m_log.m_records.begin());
                         return true;
                     }});
    steps.push_back({"log loses a record", [](World &world) {
                         if (world.m_lost == 1 || world.m_log.m_records.empty()) {
                             return false;
                         }
                         ++world.m_lost;
                         world.m_log.m_records.pop_back();
                         return true;
                     }});
    steps.push_back({"restore is made", [](World &world) {
                         if (world.m_restore || world.m_restores == 2) {
                             return false;
                         }
                         world.m_restore = restoreFor(world, world.m_readers[0]);
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

/// Two changes that were accepted on the same basis are two winners.
bool hasTwoWinners(const Control::ControlState &state)
{
    const Control::RecordOutcome *first = Control::findOutcome(state, "op0");
    const Control::RecordOutcome *second = Control::findOutcome(state, "op1");
    return first && second && first->m_accepted && second->m_accepted;
}

/// Lets everybody act undisturbed until nothing changes; false if the two readers do not end with equal states.
bool comesTogether(World world)
{
    constexpr int patience = 8;
    for (int turn = 0; turn < patience; ++turn) {
        bool hasChanged = false;
        for (Reader &reader : world.m_readers) {
            hasChanged = follow(world, reader) || hasChanged;
            const std::optional<Control::Record> restore = restoreFor(world, reader);
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

std::string violation(const World &world)
{
    for (const Reader &reader : world.m_readers) {
        if (reader.m_hasReverted) {
            return "an accepted change was taken back";
        }
        if (world.m_lost == 0 && hasTwoWinners(reader.m_state) && world.m_operators[0].m_basedOn == world.m_operators[1].m_basedOn) {
            return "two changes won against each other";
        }
    }
    const bool isSameHistory = world.m_readers[0].m_state.m_chain == world.m_readers[1].m_state.m_chain;
    if (isSameHistory && world.m_readers[0].m_state != world.m_readers[1].m_state) {
        return "the same history gave different states";
    }
    return comesTogether(world) ? "" : "readers do not come together";
}

std::string keyOf(const World &world)
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
    return key + "/" + std::to_string(world.m_expired) + std::to_string(world.m_lost) + std::to_string(world.m_restarts) + std::to_string(world.m_restores);
}

}

TEST_CASE("no order of events takes an accepted change back or keeps readers apart")
{
    // Each of these faults is harmless alone; a customer would notice when two of them meet and one instance goes on with
    // another configuration than the rest.
    const Support::Model<World> model{steps(), violation, keyOf};
    Support::Explorer<World> explorer(model);
    constexpr int depth = 8;
    const Support::Exploration found = explorer.explore(World(), depth);
    std::string trace;
    for (const std::string &step : found.m_trace) {
        trace += step + "; ";
    }
    INFO(found.m_states << " states; " << found.m_violation << ": " << trace);
    REQUIRE(found.m_violation.empty());
    REQUIRE(found.m_states > 1000);
    WARN(found.m_states << " states, " << found.m_steps << " steps");
}
