/// @file Fairness, queue bounds, deadlines and the retry budget.

#include "AgentReports.h"
#include "LibRouting/Scheduler.h"

#include <catch2/catch.hpp>
#include <random>

using namespace RoutingTest;

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);
const Routing::GroupKey Group{Service, Digest};

Routing::QueuedRequest makeRequest(Routing::Ticket ticket, const std::string &account, std::int32_t priority = 0)
{
    return Routing::QueuedRequest{ticket, account, 1, priority, 1, Start + Core::Duration(60000)};
}

Routing::Submission makeSubmission(Routing::Ticket ticket, const std::string &account, Core::Duration timeout = Core::Duration(60000))
{
    Routing::Submission submission;
    submission.m_request = makeRequest(ticket, account);
    submission.m_request.m_deadline = Start + timeout;
    submission.m_group = Group;
    return submission;
}

Routing::Scheduler makeScheduler(std::size_t engines, std::size_t queuePerAccount = 8)
{
    Routing::SchedulerSettings settings;
    settings.m_queuePerAccount = queuePerAccount;
    Routing::Scheduler scheduler(settings, Core::Random(7));
    for (std::size_t index = 0; index < engines; ++index) {
        scheduler.table().update(makeReport(instanceName(index), 1), Start);
    }
    return scheduler;
}

}

TEST_CASE("a small account is served within a few requests, however long a large account's queue is")
{
    // One account sends hundreds of requests in a burst. In order of arrival, a request of another account would wait for all of them.
    Routing::FairQueue queue(1000);
    for (Routing::Ticket ticket = 1; ticket <= 500; ++ticket) {
        queue.push(makeRequest(ticket, "large"));
    }
    for (int served = 0; served < 10; ++served) {
        queue.pop();
    }
    queue.push(makeRequest(501, "small"));
    queue.push(makeRequest(502, "small"));
    int position = 1;
    while (queue.pop()->m_ticket != 502) {
        ++position;
    }
    REQUIRE(position <= 4);
}

TEST_CASE("accounts are served work in proportion to their weights while all of them have requests queued")
{
    const std::uint64_t seed = std::random_device()();
    INFO("seed " << seed);
    Core::Random random(seed);
    Routing::FairQueue queue(100000);
    std::map<std::string, double> work;
    for (std::uint32_t account = 1; account <= 10; ++account) {
        for (int number = 0; number < 3000; ++number) {
            Routing::QueuedRequest request = makeRequest(account * 10000 + static_cast<Routing::Ticket>(number), "account-" + std::to_string(account));
            request.m_weight = account <= 2 ? 4 : 1;
            request.m_cost = static_cast<double>(1 + random.below(100));
            queue.push(request);
        }
    }
    for (int served = 0; served < 5000; ++served) {
        const std::optional<Routing::QueuedRequest> request = queue.pop();
        work[request->m_account] += request->m_cost / request->m_weight;
    }
    for (const std::pair<const std::string, double> &entry : work) {
        REQUIRE(std::abs(entry.second - work["account-1"]) <= 200);
    }
}

TEST_CASE("priority orders the requests within an account and gives it no precedence over other accounts")
{
    Routing::FairQueue queue(100);
    queue.push(makeRequest(1, "a"));
    queue.push(makeRequest(2, "a", 5));
    queue.push(makeRequest(3, "a", 5));
    queue.push(makeRequest(4, "b"));
    std::vector<Routing::Ticket> order;
    while (const std::optional<Routing::QueuedRequest> request = queue.pop()) {
        order.push_back(request->m_ticket);
    }
    REQUIRE(order == std::vector<Routing::Ticket>{2, 4, 3, 1});
}

TEST_CASE("no endpoint is granted more calls than its capacity, and the number of queued requests matches the admissions and resolutions")
{
    const std::uint64_t seed = std::random_device()();
    INFO("seed " << seed);
    Core::Random random(seed);
    Routing::Scheduler scheduler = makeScheduler(5);
    std::map<Routing::Ticket, Routing::Granted> running;
    std::size_t queued = 0;
    std::uint64_t sequence = 1;
    Routing::Ticket ticket = 0;
    Core::Instant now = Start;
    for (int round = 0; round < 5000; ++round) {
        now += Core::Duration(1);
        if (round % 500 == 0) {
            ++sequence;
            for (std::size_t index = 0; index < 5; ++index) {
                const Routing::EndpointView *endpoint = scheduler.table().find(instanceName(index));
                scheduler.table().update(makeReport(instanceName(index), sequence, endpoint->m_outstanding), now);
            }
        }
        if (random.below(2) == 0) {
            const Routing::Submission submission = makeSubmission(++ticket, "account-" + std::to_string(random.below(3)));
            const Routing::Admission admission = scheduler.submit(submission, now);
            if (const Routing::Granted *granted = std::get_if<Routing::Granted>(&admission)) {
                running.emplace(ticket, *granted);
            }
            queued += std::holds_alternative<Routing::Queued>(admission) ? 1 : 0;
        } else if (!running.empty()) {
            scheduler.finish(running.begin()->second, Routing::CallResult::Answered, now, now);
            running.erase(running.begin());
        }
        for (const Routing::Resolution &resolution : scheduler.poll(now)) {
            const Routing::Granted &granted = std::get<Routing::Granted>(resolution);
            running.emplace(granted.m_ticket, granted);
            queued -= 1;
        }
        REQUIRE(scheduler.queued() == queued);
        REQUIRE(running.size() <= 5 * 4);
        for (const Routing::EndpointView &endpoint : scheduler.table().endpoints()) {
            REQUIRE(endpoint.m_outstanding <= 4);
        }
    }
}

TEST_CASE("a request above the account's queue limit is refused at once with a retry time")
{
    // All slots are in use and the account's queue is full. A caller that is kept waiting would only notice at its deadline, too late to try another entry.
    Routing::Scheduler scheduler = makeScheduler(1, 2);
    for (Routing::Ticket ticket = 1; ticket <= 4; ++ticket) {
        REQUIRE(std::holds_alternative<Routing::Granted>(scheduler.submit(makeSubmission(ticket, "a"), Start)));
    }
    REQUIRE(std::holds_alternative<Routing::Queued>(scheduler.submit(makeSubmission(5, "a"), Start)));
    REQUIRE(std::holds_alternative<Routing::Queued>(scheduler.submit(makeSubmission(6, "a"), Start)));
    const Routing::Admission refused = scheduler.submit(makeSubmission(7, "a"), Start);
    REQUIRE(std::get<Routing::Refused>(refused).m_reason == Routing::RefusalReason::QueueFull);
    REQUIRE(std::get<Routing::Refused>(refused).m_retryAfter >= Core::Duration(1000));
    REQUIRE(std::holds_alternative<Routing::Queued>(scheduler.submit(makeSubmission(8, "b"), Start)));
}

TEST_CASE("a request that cannot start before its deadline is refused at once, and a queued request is refused when its deadline passes")
{
    Routing::Scheduler scheduler = makeScheduler(1, 100);
    std::vector<Routing::Granted> granted;
    for (Routing::Ticket ticket = 1; ticket <= 4; ++ticket) {
        granted.push_back(std::get<Routing::Granted>(scheduler.submit(makeSubmission(ticket, "a"), Start)));
    }
    REQUIRE(std::holds_alternative<Routing::Queued>(scheduler.submit(makeSubmission(5, "a", Core::Duration(100)), Start)));
    const std::vector<Routing::Resolution> resolutions = scheduler.poll(Start + Core::Duration(100));
    REQUIRE(resolutions.size() == 1);
    REQUIRE(std::get<Routing::Refused>(resolutions[0]).m_reason == Routing::RefusalReason::TooLate);
    // Calls take ten seconds here, so a request with one second left cannot start in time behind forty others.
    scheduler.finish(granted[0], Routing::CallResult::Answered, Start - Core::Duration(10000), Start);
    for (Routing::Ticket ticket = 10; ticket < 50; ++ticket) {
        scheduler.submit(makeSubmission(ticket, "a"), Start);
    }
    const Routing::Admission late = scheduler.submit(makeSubmission(60, "a", Core::Duration(1000)), Start);
    REQUIRE(std::get<Routing::Refused>(late).m_reason == Routing::RefusalReason::TooLate);
}

TEST_CASE("queued requests are refused when the last endpoint becomes unavailable")
{
    Routing::Scheduler scheduler = makeScheduler(1);
    for (Routing::Ticket ticket = 1; ticket <= 5; ++ticket) {
        scheduler.submit(makeSubmission(ticket, "a"), Start);
    }
    REQUIRE(scheduler.queued() == 1);
    const std::vector<Routing::Resolution> resolutions = scheduler.poll(Start + Routing::ReportTimeout);
    REQUIRE(resolutions.size() == 1);
    REQUIRE(std::get<Routing::Refused>(resolutions[0]).m_reason == Routing::RefusalReason::NoEndpoint);
}

TEST_CASE("retries stay within their share of the requests")
{
    // All engines fail briefly. Without the budget each request would be sent three times, and the load of the retries would keep the engines down.
    Routing::RetryBudget budget(0.1, 5);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.onRequest();
        for (int attempt = 0; attempt < 2; ++attempt) {
            retries += budget.tryRetry() ? 1 : 0;
        }
    }
    REQUIRE(retries <= 105);
    REQUIRE(retries >= 95);
}

TEST_CASE("an endpoint gets no new calls for a while after a failed call")
{
    Routing::Scheduler scheduler = makeScheduler(2);
    const Routing::Granted first = std::get<Routing::Granted>(scheduler.submit(makeSubmission(1, "a"), Start));
    scheduler.finish(first, Routing::CallResult::Failed, Start, Start);
    for (Routing::Ticket ticket = 2; ticket <= 4; ++ticket) {
        REQUIRE(std::get<Routing::Granted>(scheduler.submit(makeSubmission(ticket, "a"), Start)).m_endpoint != first.m_endpoint);
    }
}

TEST_CASE("a request that has failed at every endpoint is refused at once instead of waiting until its deadline")
{
    // The only available endpoints have just refused the request. In the queue it would wait until its deadline without a chance of success.
    Routing::Scheduler scheduler = makeScheduler(2);
    Routing::Submission submission = makeSubmission(1, "a");
    submission.m_excluded = {instanceName(0), instanceName(1)};
    const Routing::Admission refused = scheduler.submit(submission, Start);
    REQUIRE(std::get<Routing::Refused>(refused).m_reason == Routing::RefusalReason::NoEndpoint);
}
