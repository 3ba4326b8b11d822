/// @file Implementation of the state store.

#include "LibControl/StateStore.h"
#include "LibControl/ApplyRecord.h"
#include "LibControl/Recovery.h"

#include <Poco/JSON/Array.h>

namespace Control {

namespace {

constexpr std::size_t MaximumRecentRecords = 512;
constexpr std::size_t MaximumRecentRecordBytes = 4 << 20;

}

StateStore::StateStore(Telemetry::Metrics &metrics)
    : m_recordsApplied(metrics.counter("control_records_applied_total"))
    , m_recordsRefused(metrics.counter("control_records_refused_total"))
    , m_snapshotsApplied(metrics.counter("control_snapshots_applied_total"))
    , m_snapshotsRefused(metrics.counter("control_snapshots_refused_total"))
    , m_state(std::make_shared<const ControlState>())
{
    metrics.gauge("control_applied_offset", [this] { return static_cast<double>(current()->m_applied); });
}

std::shared_ptr<const ControlState> StateStore::current() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_state;
}

bool StateStore::isReady() const
{
    return current()->m_applied > 0;
}

void StateStore::storeRecentRecord(AppliedRecord appliedRecord)
{
    m_recentRecordBytes += appliedRecord.m_record.m_body.size();
    m_recentRecords.push_back(std::move(appliedRecord));
    while (m_recentRecords.size() > MaximumRecentRecords || (m_recentRecordBytes > MaximumRecentRecordBytes && m_recentRecords.size() > 1)) {
        m_recentRecordBytes -= m_recentRecords.front().m_record.m_body.size();
        m_recentRecords.pop_front();
    }
}

ApplyResult StateStore::applyRecords(const std::string &baseChain, std::span<const Protocol::LogRecord> records)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::size_t known = 0;
        if (baseChain != m_state->m_chain) {
            const auto follows = [&baseChain](const AppliedRecord &appliedRecord) { return appliedRecord.m_chainBefore == baseChain; };
            const std::deque<AppliedRecord>::const_iterator base = std::find_if(m_recentRecords.begin(), m_recentRecords.end(), follows);
            if (base == m_recentRecords.end()) {
                return ApplyResult::Gap;
            }
            known = static_cast<std::size_t>(m_recentRecords.end() - base);
        }
        if (known >= records.size()) {
            return ApplyResult::AlreadyKnown;
        }
        std::shared_ptr<ControlState> next = std::make_shared<ControlState>(*m_state);
        std::vector<AppliedRecord> appliedRecords;
        for (const Protocol::LogRecord &record : records.subspan(known)) {
            if (next->m_position + 1 != record.m_offset) {
                return ApplyResult::Gap;
            }
            const std::string before = next->m_chain;
            const RecordOutcome outcome = applyRecord(*next, record.m_offset, record.m_body);
            (outcome.m_accepted ? m_recordsApplied : m_recordsRefused).add();
            appliedRecords.push_back(AppliedRecord{before, next->m_chain, record});
        }
        if (!covers(*next, *m_state)) {
            // The records contain a restore by a writer that did not know something accepted by this process. Refusing the
            // records keeps it in force. The log's reader then detects that the histories differ and restores the difference into
            // the log.
            m_snapshotsRefused.add();
            return ApplyResult::Refused;
        }
        for (AppliedRecord &appliedRecord : appliedRecords) {
            storeRecentRecord(std::move(appliedRecord));
        }
        m_state = std::move(next);
    }
    notifyChange();
    return ApplyResult::Applied;
}

ApplyResult StateStore::applySnapshot(ControlState snapshot, SnapshotSource source)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const bool switchesHistory = source == SnapshotSource::Log && snapshot.m_applied == m_state->m_applied && snapshot.m_chain != m_state->m_chain;
        if (snapshot.m_applied <= m_state->m_applied && !switchesHistory) {
            return ApplyResult::AlreadyKnown;
        }
        if (!covers(snapshot, *m_state)) {
            m_snapshotsRefused.add();
            return ApplyResult::Refused;
        }
        m_snapshotsApplied.add();
        m_recentRecords.clear();
        m_recentRecordBytes = 0;
        m_state = std::make_shared<const ControlState>(std::move(snapshot));
    }
    notifyChange();
    return ApplyResult::Applied;
}

void StateStore::offer(ControlState state)
{
    if (covers(*current(), state)) {
        return;
    }
    if (applySnapshot(state) == ApplyResult::Applied) {
        return;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_offeredState = std::move(state);
}

std::optional<ControlState> StateStore::offeredState() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_offeredState;
}

void StateStore::clearOfferedState()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_offeredState.reset();
}

std::vector<Protocol::Member> StateStore::members() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_members.members();
}

MembershipSnapshot StateStore::membershipSnapshot() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_members.snapshot();
}

std::uint64_t StateStore::membersVersion() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_membersVersion;
}

template <typename Change>
void StateStore::updateMembers(Change change)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!change(m_members)) {
            return;
        }
        ++m_membersVersion;
    }
    notifyChange();
}

void StateStore::announce(const Protocol::Member &member)
{
    updateMembers([&member](MemberTable &table) { return table.announce(member, Core::Clock::now()); });
}

void StateStore::mergeMembers(const MembershipSnapshot &membership)
{
    updateMembers([&membership](MemberTable &table) { return table.merge(membership, Core::Clock::now()); });
}

void StateStore::replaceMembers(std::span<const Protocol::Member> members)
{
    updateMembers([members](MemberTable &table) { return table.replace(members, Core::Clock::now()); });
}

void StateStore::applyInstanceList(std::span<const Protocol::Member> listed)
{
    updateMembers([listed](MemberTable &table) { return table.applyList(listed, Core::Clock::now()); });
}

std::optional<std::vector<Protocol::LogRecord>> StateStore::recordsSince(const std::string &baseChain) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (baseChain == m_state->m_chain) {
        return std::vector<Protocol::LogRecord>();
    }
    const auto follows = [&baseChain](const AppliedRecord &appliedRecord) { return appliedRecord.m_chainBefore == baseChain; };
    const std::deque<AppliedRecord>::const_iterator base = std::find_if(m_recentRecords.begin(), m_recentRecords.end(), follows);
    if (base == m_recentRecords.end()) {
        return std::nullopt;
    }
    std::vector<Protocol::LogRecord> records;
    for (std::deque<AppliedRecord>::const_iterator it = base; it != m_recentRecords.end(); ++it) {
        records.push_back(it->m_record);
    }
    return records;
}

void StateStore::onChange(std::function<void()> callback)
{
    m_callbacks.push_back(std::move(callback));
}

void StateStore::notifyChange() const
{
    for (const std::function<void()> &callback : m_callbacks) {
        callback();
    }
}

Poco::JSON::Object::Ptr StateStore::dump() const
{
    const std::shared_ptr<const ControlState> state = current();
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("ready", state->m_applied > 0);
    object->set("applied", static_cast<Poco::UInt64>(state->m_applied));
    object->set("position", static_cast<Poco::UInt64>(state->m_position));
    object->set("generation", static_cast<Poco::UInt64>(state->m_generation));
    object->set("chain", state->m_chain);
    Poco::JSON::Object::Ptr templates = new Poco::JSON::Object;
    for (const std::pair<const std::string, AcceptedTemplate> &entry : state->m_templates) {
        templates->set(entry.first, static_cast<Poco::UInt64>(entry.second.m_revision));
    }
    object->set("templates", templates);
    Poco::JSON::Object::Ptr plans = new Poco::JSON::Object;
    for (const std::pair<const std::string, Plan> &entry : state->m_plans) {
        plans->set(entry.first, static_cast<Poco::UInt64>(entry.second.m_offset));
    }
    object->set("plans", plans);
    Poco::JSON::Array::Ptr members = new Poco::JSON::Array;
    for (const Protocol::Member &member : this->members()) {
        Poco::JSON::Object::Ptr row = new Poco::JSON::Object;
        row->set("id", member.m_id);
        row->set("incarnation", member.m_incarnation);
        row->set("wire", member.m_wire.toString());
        row->set("leaving", member.m_leaving);
        members->add(row);
    }
    object->set("members", members);
    return object;
}

}
