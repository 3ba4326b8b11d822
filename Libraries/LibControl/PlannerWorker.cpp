/// @file Implementation of the planner's worker.

#include "LibControl/PlannerWorker.h"
#include "LibControl/Checkpointer.h"
#include "LibControl/Planner.h"
#include "LibCore/Random.h"

#include <glog/logging.h>

namespace Control {

namespace {

constexpr Core::Duration IdleInterval{1000};

Core::Duration remaining(Core::Instant until, Core::Instant now)
{
    constexpr Core::Duration shortest{10};
    return std::max(shortest, std::chrono::duration_cast<Core::Duration>(until - now));
}

}

PlannerWorker::PlannerWorker(Platform::Log &log, StateStore &store, Protocol::Member self, Telemetry::Metrics &metrics, PlannerSettings settings)
    : m_log(log)
    , m_store(store)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_plansAppended(metrics.counter("control_plans_appended_total"))
    , m_appendFailures(metrics.counter("control_plan_append_failures_total"))
{
    store.onChange([this] { m_worker.wake(); });
}

PlannerWorker::~PlannerWorker()
{
    stop();
}

void PlannerWorker::start()
{
    m_worker.start([this] { return runOnce(); });
}

void PlannerWorker::stop()
{
    m_worker.stop();
}

Core::Duration PlannerWorker::runOnce()
{
    const std::uint64_t membersVersion = m_store.membersVersion();
    const std::shared_ptr<const ControlState> state = m_store.current();
    const bool isUnchanged = m_pending.empty() && membersVersion == m_lastMembersVersion && state->m_chain == m_lastChain;
    if (state->m_applied == 0 || isUnchanged) {
        return IdleInterval;
    }
    m_lastMembersVersion = membersVersion;
    m_lastChain = state->m_chain;
    const std::vector<Protocol::Member> members = m_store.members();
    const Core::Instant now = Core::Clock::now();
    Core::Duration wait = IdleInterval;
    for (const std::string &service : plannedServices(*state)) {
        wait = std::min(wait, updatePlan(service, *state, members, now));
    }
    return wait;
}

Core::Duration PlannerWorker::updatePlan(const std::string &service, const ControlState &state, const std::vector<Protocol::Member> &members, Core::Instant now)
{
    const Plan wanted = planService(service, state, members);
    if (!isPlanOutOfDate(state, wanted)) {
        m_pending.erase(service);
        return IdleInterval;
    }
    PendingPlan &pending = m_pending.emplace(service, PendingPlan{wanted, now, std::nullopt, now}).first->second;
    if (pending.m_recordId) {
        const bool isSettled = findOutcome(state, *pending.m_recordId) != nullptr;
        if (!isSettled && now - pending.m_appendedAt < m_settings.m_retryDelay) {
            return remaining(pending.m_appendedAt + m_settings.m_retryDelay, now);
        }
        // Either the record was read back and the plan is still out of date, or the record never reached the log. Another append
        // is harmless, since it is based on the plan in force.
        pending = PendingPlan{wanted, now, std::nullopt, now};
    }
    const std::size_t rank = rankAmongEntries(m_self, members, service);
    const Core::Instant due = pending.m_since + m_settings.m_settleDelay + m_settings.m_rankDelay * static_cast<std::int64_t>(rank);
    if (now < due) {
        return remaining(due, now);
    }
    pending.m_plan = wanted;
    append(service, state, pending, now);
    return m_settings.m_retryDelay;
}

void PlannerWorker::append(const std::string &service, const ControlState &state, PendingPlan &pending, Core::Instant now)
{
    const std::map<std::string, Plan>::const_iterator current = state.m_plans.find(service);
    const Offset basedOn = current == state.m_plans.end() ? 0 : current->second.m_offset;
    const Record record{Core::randomIdentifier(), m_self.m_id, PublishPlan{basedOn, pending.m_plan}};
    pending.m_appendedAt = now;
    const Core::Result<Offset> appended = m_log.append(ControlStream, encodeRecord(record));
    if (appended) {
        m_plansAppended.add();
    } else {
        m_appendFailures.add();
    }
    const bool mayHaveTakenEffect = appended || appended.error().m_code == Core::ErrorCode::Ambiguous;
    if (mayHaveTakenEffect) {
        pending.m_recordId = record.m_id;
    } else {
        pending.m_since = now + m_settings.m_retryDelay;
    }
}

}
