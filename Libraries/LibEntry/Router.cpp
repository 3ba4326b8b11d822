/// @file Waiting of callers' threads for the scheduler's decisions.

#include "LibEntry/Router.h"

namespace Entry {

namespace {

/// Interval at which a waiting thread checks whether its caller has disconnected.
constexpr Core::Duration DisconnectCheckInterval{100};

std::string groupName(const Routing::GroupKey &group)
{
    return group.m_digest.empty() ? group.m_service : group.m_service + " " + group.m_digest.substr(0, 12);
}

}

Router::Router(Routing::SchedulerSettings settings, Telemetry::Metrics &metrics)
    : m_granted(metrics.counter("routing_granted_total"))
    , m_waited(metrics.counter("routing_waited_total"))
    , m_refused(metrics.counter("routing_refused_total"))
    , m_retries(metrics.counter("routing_retries_total"))
    , m_retriesRefused(metrics.counter("routing_retries_refused_total"))
    , m_waitSeconds(metrics.latency("routing_wait_seconds"))
    , m_scheduler(settings, Core::Random(Core::stableHash(Core::randomIdentifier())))
{
}

CallerError Router::refusal(const Routing::Refused &refused, const Routing::GroupKey &group) const
{
    m_refused.add();
    CallerError error;
    error.m_retryAfter = refused.m_retryAfter;
    error.m_code = refused.m_reason == Routing::RefusalReason::QueueFull ? CallerCode::AccountBusy : CallerCode::NotRun;
    std::string detail = "no endpoint serves it now";
    if (refused.m_reason == Routing::RefusalReason::QueueFull) {
        detail = "the account's queue is full";
    } else if (refused.m_reason == Routing::RefusalReason::TooLate) {
        detail = "it would not start before its deadline";
    }
    error.m_error = Core::makeError(Core::ErrorCode::Overloaded, "route request", groupName(group), detail);
    return error;
}

std::variant<Grant, CallerError> Router::acquire(Routing::Submission submission, const DisconnectCheck &isDisconnected)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    submission.m_request.m_ticket = m_nextTicket++;
    const Core::Instant now = Core::Clock::now();
    const Routing::Admission admission = m_scheduler.submit(submission, now);
    if (const Routing::Granted *granted = std::get_if<Routing::Granted>(&admission)) {
        m_granted.add();
        return Grant{*granted, now};
    }
    if (const Routing::Refused *refused = std::get_if<Routing::Refused>(&admission)) {
        return refusal(*refused, submission.m_group);
    }
    return waitForResolution(lock, submission, isDisconnected);
}

std::variant<Grant, CallerError>
Router::waitForResolution(std::unique_lock<std::mutex> &lock, const Routing::Submission &submission, const DisconnectCheck &isDisconnected)
{
    const Core::Instant since = Core::Clock::now();
    const Routing::Ticket ticket = submission.m_request.m_ticket;
    const std::shared_ptr<Waiter> waiter = std::make_shared<Waiter>();
    m_waiters.emplace(ticket, waiter);
    m_waited.add();
    while (!waiter->m_resolution) {
        const Core::Instant now = Core::Clock::now();
        if (now >= submission.m_request.m_deadline) {
            notifyWaiters(m_scheduler.poll(now));
            break;
        }
        const Core::Instant until = std::min(now + DisconnectCheckInterval, submission.m_request.m_deadline);
        waiter->m_changed.wait_until(lock, until);
        if (waiter->m_resolution) {
            break;
        }
        lock.unlock();
        const bool disconnected = isDisconnected();
        lock.lock();
        if (disconnected && !waiter->m_resolution) {
            break;
        }
    }
    m_waiters.erase(ticket);
    if (!waiter->m_resolution) {
        m_scheduler.cancel(ticket);
        return refusal(Routing::Refused{ticket, Routing::RefusalReason::TooLate, m_scheduler.retryAfter(submission.m_group)}, submission.m_group);
    }
    if (const Routing::Refused *refused = std::get_if<Routing::Refused>(&*waiter->m_resolution)) {
        return refusal(*refused, submission.m_group);
    }
    const Core::Instant now = Core::Clock::now();
    m_granted.add();
    m_waitSeconds.record(Core::secondsBetween(since, now));
    return Grant{std::get<Routing::Granted>(*waiter->m_resolution), now};
}

void Router::notifyWaiters(const std::vector<Routing::Resolution> &resolutions)
{
    for (const Routing::Resolution &resolution : resolutions) {
        const Routing::Ticket ticket = std::visit([](const auto &each) { return each.m_ticket; }, resolution);
        const std::unordered_map<Routing::Ticket, std::shared_ptr<Waiter>>::const_iterator it = m_waiters.find(ticket);
        if (it == m_waiters.end()) {
            continue;
        }
        it->second->m_resolution = resolution;
        it->second->m_changed.notify_one();
    }
}

void Router::release(const Grant &grant, Routing::CallResult result)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Core::Instant now = Core::Clock::now();
    m_scheduler.finish(grant.m_granted, result, grant.m_started, now);
    notifyWaiters(m_scheduler.poll(now));
}

bool Router::tryRetry()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool allowed = m_scheduler.tryRetry();
    (allowed ? m_retries : m_retriesRefused).add();
    return allowed;
}

void Router::onReport(const Protocol::AgentReport &report)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Core::Instant now = Core::Clock::now();
    m_scheduler.table().update(report, now);
    notifyWaiters(m_scheduler.poll(now));
}

void Router::removeEndpoint(const std::string &instance)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_scheduler.table().remove(instance);
}

void Router::markUnavailable(const std::string &instance)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_scheduler.table().markUnavailable(instance);
    notifyWaiters(m_scheduler.poll(Core::Clock::now()));
}

void Router::poll()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    notifyWaiters(m_scheduler.poll(Core::Clock::now()));
}

void Router::readTable(const std::function<void(const Routing::EndpointTable &table)> &read) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    read(m_scheduler.table());
}

std::size_t Router::queued() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_scheduler.queued();
}

}
