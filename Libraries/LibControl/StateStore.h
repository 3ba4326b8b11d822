/// @file The control state and the members that one process has in force, shared between its duties.
#pragma once

#include "LibControl/ControlState.h"
#include "LibControl/MemberTable.h"
#include "LibCore/Clock.h"
#include "LibProtocol/StateFeed.h"
#include "LibTelemetry/Metrics.h"

#include <Poco/JSON/Object.h>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace Control {

/// What became of records or a snapshot that were offered to a store.
enum class ApplyResult {
    Applied, ///< The state moved up.
    AlreadyKnown, ///< Nothing new.
    Gap, ///< The records follow a history that this store has not folded.
    Refused, ///< A snapshot that would take back something accepted.
};

/// Where a snapshot comes from.
enum class SnapshotSource {
    Peer,
    Log, ///< It was folded from the log, which decides between histories that cover each other.
};

/**
 * Holds what is in force. Thread-safe; the state is replaced as a whole and never changed in place.
 *
 * It only ever moves up: records are folded in order, and a snapshot is taken only if it covers the state in force.
 */
class StateStore
{
public:
    explicit StateStore(Telemetry::Metrics &metrics);

    StateStore(const StateStore &) = delete;
    StateStore &operator=(const StateStore &) = delete;

    /// Never null; empty until isReady().
    std::shared_ptr<const ControlState> current() const;
    /// False until accepted state is known; a process that is not ready serves nothing rather than defaults.
    bool isReady() const;

    /// Folds records that follow the history with the digest @p baseChain. Records that were folded before are passed over.
    ApplyResult applyRecords(const std::string &baseChain, std::span<const Protocol::LogRecord> records);
    /// Takes a whole state if it is newer than and covers the one in force.
    ApplyResult applySnapshot(ControlState snapshot, SnapshotSource source = SnapshotSource::Peer);

    /// A peer has @p state in force. Taken as a snapshot if it covers the state here; else kept, if it holds something that is
    /// not in force here, until it has been put back into the log.
    void offer(ControlState state);
    /// What is to be put back into the log, if anything.
    std::optional<ControlState> offeredState() const;
    /// The log covers what was offered.
    void clearOfferedState();

    std::vector<Protocol::Member> members() const;
    MembershipSnapshot membershipSnapshot() const;
    /// Grows with every change of members(); starts at 1.
    std::uint64_t membersVersion() const;
    void announce(const Protocol::Member &member);
    void mergeMembers(const MembershipSnapshot &knowledge);
    void replaceMembers(std::span<const Protocol::Member> members);
    void applyInstanceList(std::span<const Protocol::Member> listed);

    /// Records that lead from the history with the digest @p baseChain to the state in force; empty optional if that is not remembered.
    std::optional<std::vector<Protocol::LogRecord>> recordsSince(const std::string &baseChain) const;

    /// Calls @p callback after each change of state or members, on the thread that made it; it must not block. Not to be called once threads run.
    void onChange(std::function<void()> callback);

    /// For the process's dump.
    Poco::JSON::Object::Ptr dump() const;

private:
    /// A record that was folded, between the history before it and the history with it.
    struct AppliedRecord
    {
        std::string m_chainBefore;
        std::string m_chainAfter;
        Protocol::LogRecord m_record;
    };

    void notifyChange() const;
    template <typename Change>
    void changeMembers(Change change);
    void storeRecentRecord(AppliedRecord step);

    Telemetry::Counter &m_recordsApplied;
    Telemetry::Counter &m_recordsRefused;
    Telemetry::Counter &m_snapshotsApplied;
    Telemetry::Counter &m_snapshotsRefused;

    mutable std::mutex m_mutex;
    std::shared_ptr<const ControlState> m_state; ///< m_applied only grows; each state covers the one before.
    std::deque<AppliedRecord> m_recentRecords; ///< Newest last, each following the one before; the last ends at m_state. Bounded in number and bytes.
    std::size_t m_recentRecordBytes = 0;
    std::optional<ControlState> m_offeredState; ///< Holds something that m_state does not cover.
    MemberTable m_members;
    std::uint64_t m_membersVersion = 1;
    std::vector<std::function<void()>> m_callbacks; ///< Fixed once threads run.
};

}
