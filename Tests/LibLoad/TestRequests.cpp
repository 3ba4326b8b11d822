/// @file Tests of reproducible workloads, traces and the cache of entry addresses.

#include "LibLoad/EntryAddressCache.h"
#include "LibLoad/Report.h"
#include "LibLoad/RequestSource.h"
#include "LibLoad/Trace.h"

#include <catch2/catch.hpp>
#include <set>

namespace {

Load::Workload makeWorkload()
{
    Load::Workload mix;
    mix.m_template = "drafts";
    mix.m_service = "bookings";
    mix.m_serviceShare = 0.25;
    mix.m_accounts = {{"large", 3}, {"small", 1}};
    mix.m_rate = 100;
    mix.m_count = 4000;
    mix.m_isKeyed = true;
    mix.m_prefixes = 3;
    mix.m_marker = "run";
    return mix;
}

std::vector<Load::Request> allRequests(const Load::Workload &mix)
{
    Load::RequestSource source(mix);
    std::vector<Load::Request> requests;
    while (std::optional<Load::Request> request = source.next()) {
        requests.push_back(*request);
    }
    return requests;
}

const Core::Address One{"127.0.0.1", 1};
const Core::Address Two{"127.0.0.1", 2};

}

TEST_CASE("A workload has the configured rate, shares and unique prompts, and equal seeds give equal requests")
{
    const std::vector<Load::Request> requests = allRequests(makeWorkload());
    REQUIRE(requests.size() == 4000);
    REQUIRE(requests == allRequests(makeWorkload()));
    REQUIRE(requests.back().m_at.count() == Approx(40000).epsilon(0.06));
    std::set<std::string> prompts;
    std::set<std::string> prefixes;
    std::size_t large = 0;
    std::size_t calls = 0;
    for (const Load::Request &request : requests) {
        prompts.insert(request.m_prompt);
        prefixes.insert(request.m_account + request.m_prompt.substr(0, 64));
        large += request.m_account == "large" ? 1 : 0;
        calls += request.m_kind == Load::RequestKind::Call ? 1 : 0;
        REQUIRE(request.m_isKeyed == (request.m_kind == Load::RequestKind::Call));
    }
    REQUIRE(prompts.size() == requests.size());
    REQUIRE(prefixes.size() == 6);
    REQUIRE(static_cast<double>(large) == Approx(3000).epsilon(0.05));
    REQUIRE(static_cast<double>(calls) == Approx(1000).epsilon(0.1));
}

TEST_CASE("A run ends at its maximum duration as well as at its maximum count")
{
    Load::Workload mix = makeWorkload();
    mix.m_duration = Core::Duration(1000);
    const std::vector<Load::Request> requests = allRequests(mix);
    REQUIRE(requests.size() > 50);
    REQUIRE(requests.back().m_at <= mix.m_duration);
}

TEST_CASE("A recorded request is replayed unchanged, with its outcome as the expected one")
{
    Load::Request request = allRequests(makeWorkload()).at(7);
    Load::Observation observation;
    observation.m_outcome = Load::Outcome::NotRun;
    const Core::Result<Load::Request> read = Load::parseTraceLine(Load::traceLine(request, observation), request.m_index);
    request.m_expected = "not-run";
    REQUIRE(read.value() == request);
    REQUIRE(Load::isExpected(request, observation));
    observation.m_outcome = Load::Outcome::Ok;
    REQUIRE_FALSE(Load::isExpected(request, observation));
    Load::Report report;
    report.add(request, observation);
    REQUIRE(report.unexpected() == 1);
}

TEST_CASE("Malformed traces are rejected")
{
    const std::string good = R"({"kind":"generate","account":"a","name":"t","prompt":"p")";
    REQUIRE(Load::parseTraceLine(good + "}", 0));
    REQUIRE_FALSE(Load::parseTraceLine(good + R"(,"expect":"fine"})", 0));
    REQUIRE_FALSE(Load::parseTraceLine(good + R"(,"max_tokens":1e9})", 0));
    REQUIRE_FALSE(Load::parseTraceLine(good + R"(,"colour":"red"})", 0));
    REQUIRE_FALSE(Load::parseTraceLine(R"({"kind":"generate"})", 0));
    REQUIRE_FALSE(Load::parseTraceLine("[]", 0));
    REQUIRE(Load::readTrace("/nowhere/trace").error().m_code == Core::ErrorCode::NotFound);
}

TEST_CASE("Addresses are cached for their lifetime, and failed ones are not picked")
{
    const Core::Instant start{};
    Core::Random random(3);
    Load::EntryAddressCache cache({One});
    REQUIRE(cache.needsRefresh(start));
    REQUIRE_FALSE(cache.pick(random, start));
    REQUIRE(cache.refreshCandidates(random) == std::vector<Core::Address>{One});
    const std::string body = R"({"addresses":["127.0.0.1:1","127.0.0.1:2"],"lifetime_ms":5000,"key_epoch":"41"})";
    cache.update(Load::parseAddressAnswer(body, "entry").value(), start);
    REQUIRE(cache.keyEpoch() == "41");
    REQUIRE_FALSE(cache.needsRefresh(start + Core::Duration(4999)));
    REQUIRE(cache.needsRefresh(start + Core::Duration(5000)));
    cache.recordFailure(One, start);
    for (int attempt = 0; attempt < 20; ++attempt) {
        REQUIRE(cache.pick(random, start) == Two);
    }
    cache.recordFailure(Two, start);
    REQUIRE(cache.needsRefresh(start));
    REQUIRE(cache.pick(random, start));
    REQUIRE_FALSE(cache.needsRefresh(start + Load::EntryAddressCache::FailureBackoff));
    REQUIRE_FALSE(Load::parseAddressAnswer(R"({"addresses":["somewhere"],"lifetime_ms":1})", "entry"));
    REQUIRE_FALSE(Load::parseAddressAnswer("{}", "entry"));
}
