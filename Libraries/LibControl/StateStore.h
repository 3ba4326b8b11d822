/// @file The control state and the members that one process has in force, shared between its threads.
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

/// Result of applying records or a snapshot to a store.
enum class ApplyResult {
    Applied, ///< The state advanced.
    AlreadyKnown, ///< The input contains nothing new.
    Gap, ///< The records follow a history that this store has not applied.
    Refused, ///< The input would undo something accepted.
};

/// Source of a snapshot.
enum class SnapshotSource {
    Peer,
    Log, ///< Built from the log, which decides between histories that cover each other.
};

/**
 * Holds the control state and the members in force. Thread-safe; the state is replaced as a whole and never modified in
 * place.
 *
 * The state only ever advances: records are applied in order, and a snapshot is accepted only if it covers the state in
 * force.
 */
class StateStore
{
public:
    explicit StateStore(Telemetry::Metrics &metrics);

    StateStore(const StateStore &) = delete;
    StateStore &operator=(const StateStore &) = delete;

    /// Returns the state in force. Never null; empty until isReady().
    std::shared_ptr<const ControlState> current() const;
    /// Returns whether accepted state is known. A process that is not ready serves nothing instead of serving defaults.
    bool isReady() const;

    /// Applies records that follow the history with the digest @p baseChain. Records that were already applied are skipped.
    ApplyResult applyRecords(const std::string &baseChain, std::span<const Protocol::LogRecord> records);
    /// Replaces the state by a complete one that is newer than the state in force and covers it.
    ApplyResult applySnapshot(ControlState snapshot, SnapshotSource source = SnapshotSource::Peer);

    /// Handles @p state offered by a peer, which has it in force. It is applied as a snapshot if it covers the state here.
    /// Otherwise, if it contains something that is not in force here, it is kept until it has been restored into the log.
    void offer(ControlState state);
    /// Returns the offered state that must be restored into the log, if any.
    std::optional<ControlState> offeredState() const;
    /// Clears the offered state. To be called once the log covers it.
    void clearOfferedState();

    std::vector<Protocol::Member> members() const;
    MembershipSnapshot membershipSnapshot() const;
    /// Returns the version of members(), which starts at 1 and grows with every change.
    std::uint64_t membersVersion() const;
    void announce(const Protocol::Member &member);
    void mergeMembers(const MembershipSnapshot &membership);
    void replaceMembers(std::span<const Protocol::Member> members);
    void applyInstanceList(std::span<const Protocol::Member> listed);

    /// Returns the records that lead from the history with the digest @p baseChain to the state in force, or no value if that
    /// history is no longer kept.
    std::optional<std::vector<Protocol::LogRecord>> recordsSince(const std::string &baseChain) const;

    /// Calls @p callback after each change of state or members, on the thread that made the change. The callback must not block.
    /// Must not be called once threads run.
    void onChange(std::function<void()> callback);

    /// Returns the content of the store for the process's dump.
    Poco::JSON::Object::Ptr dump() const;

private:
    /// An applied record, with the digests of the history before it and after it.
    struct AppliedRecord
    {
        std::string m_chainBefore;
        std::string m_chainAfter;
        Protocol::LogRecord m_record;
    };

    void notifyChange() const;
    template <typename Change>
    void updateMembers(Change change);
    void storeRecentRecord(AppliedRecord appliedRecord);

    Telemetry::Counter &m_recordsApplied;
    Telemetry::Counter &m_recordsRefused;
    Telemetry::Counter &m_snapshotsApplied;
    Telemetry::Counter &m_snapshotsRefused;

    mutable std::mutex m_mutex;
    std::shared_ptr<const ControlState> m_state; ///< m_applied never decreases; each state covers the one before.
    std::deque<AppliedRecord> m_recentRecords; ///< Newest last, without gaps; the last one leads to m_state. Bounded in number and bytes.
    std::size_t m_recentRecordBytes = 0;
    std::optional<ControlState> m_offeredState; ///< Contains something that m_state does not cover.
    MemberTable m_members;
    std::uint64_t m_membersVersion = 1;
    std::vector<std::function<void()>> m_callbacks; ///< Not modified once threads run.
};

}
