/// @file The claim writer with a log that is down or loses answers or records.

#include "LibClaims/ClaimWriter.h"
#include "LibClaims/ClaimWriterSelection.h"
#include "LibStandInLog/LogStore.h"

#include <catch2/catch.hpp>
#include <future>

namespace {

/// A writer and its log; the log outlives the writer.
struct WriterFixture
{
    StandIn::LogStore m_log;
    Telemetry::Metrics m_metrics;
    std::unique_ptr<Claims::ClaimWriter> m_writer;

    WriterFixture()
    {
        restart();
    }

    ~WriterFixture()
    {
        m_log.stop();
    }

    void restart()
    {
        m_writer.reset();
        Claims::WriterSettings settings;
        settings.m_readBackTimeout = Core::Duration(300);
        settings.m_retryPause = Core::Duration(20);
        settings.m_checkInterval = Core::Duration(20);
        m_writer = std::make_unique<Claims::ClaimWriter>(m_log, "entry-1", settings, m_metrics);
        m_writer->start();
        m_writer->setReading(true);
        awaitEpoch();
    }

    Claims::Epoch awaitEpoch()
    {
        while (!m_writer->epoch()) {
            std::this_thread::yield();
        }
        return m_writer->epoch().value();
    }

    Core::Result<Claims::ClaimAnswer> claim(const std::string &attempt, const Claims::Epoch &epoch, const std::string &text = "k")
    {
        Claims::Claim claim;
        claim.m_key = Claims::ClaimKey{epoch, text};
        claim.m_attempt = attempt;
        const std::shared_ptr<std::promise<Core::Result<Claims::ClaimAnswer>>> promise = std::make_shared<std::promise<Core::Result<Claims::ClaimAnswer>>>();
        m_writer->submit(Claims::ClaimRequest{{}, {claim}}, [promise](const Core::Result<Claims::ClaimAnswer> &answer) { promise->set_value(answer); });
        return promise->get_future().get();
    }

    Claims::Verdict verdict(const std::string &attempt, const Claims::Epoch &epoch, const std::string &text = "k")
    {
        const Core::Result<Claims::ClaimAnswer> answer = claim(attempt, epoch, text);
        REQUIRE(answer);
        return answer.value().m_results.at(0).m_verdict;
    }
};

}

TEST_CASE("concurrent claims on one key are batched into few records, and exactly one wins")
{
    WriterFixture fixture;
    std::vector<std::future<Claims::Verdict>> verdicts;
    for (int index = 0; index < 20; ++index) {
        verdicts.push_back(std::async(std::launch::async, [&fixture, index] { return fixture.verdict("attempt-" + std::to_string(index), {0, 0}); }));
    }
    int won = 0;
    for (std::future<Claims::Verdict> &verdict : verdicts) {
        won += verdict.get() == Claims::Verdict::Won ? 1 : 0;
    }
    REQUIRE(won == 1);
    REQUIRE(fixture.m_metrics.counter("claims_batches_total").value() < 20);
}

TEST_CASE("a batch whose append answer was lost is found by reading back")
{
    // The append takes effect but its answer is lost. If this were treated as a failure, the caller would be refused although the key is held. If the
    // batch were appended again without a check, the key would be claimed twice.
    WriterFixture fixture;
    StandIn::LogFaults faults;
    faults.m_loseAnswers = true;
    fixture.m_log.setFaults(faults);
    REQUIRE(fixture.verdict("first", {0, 0}) == Claims::Verdict::Won);
    // The reader may find the batch before the appending thread has counted the lost answer.
    const Telemetry::Counter &lostAnswers = fixture.m_metrics.counter("claims_append_answers_lost_total");
    const Core::Instant end = Core::Clock::now() + std::chrono::seconds(60);
    while (lostAnswers.value() == 0 && Core::Clock::now() < end) {
        std::this_thread::yield();
    }
    REQUIRE(lostAnswers.value() == 1);
}

TEST_CASE("while the log is down, claims are refused and no key is held")
{
    WriterFixture fixture;
    StandIn::LogFaults faults;
    faults.m_down = true;
    fixture.m_log.setFaults(faults);
    REQUIRE(fixture.claim("first", {0, 0}).error().m_code == Core::ErrorCode::Unavailable);
    fixture.m_log.setFaults({});
    fixture.awaitEpoch();
    Core::Result<Claims::ClaimAnswer> answer = fixture.claim("second", {0, 0});
    while (!answer) {
        answer = fixture.claim("second", {0, 0});
    }
    REQUIRE(answer.value().m_results.at(0).m_verdict == Claims::Verdict::Won);
}

TEST_CASE("a restarted writer knows the claims written before")
{
    WriterFixture fixture;
    REQUIRE(fixture.verdict("first", {0, 0}) == Claims::Verdict::Won);
    fixture.restart();
    REQUIRE(fixture.verdict("second", {0, 0}) == Claims::Verdict::Lost);
}

TEST_CASE("a writer that starts after records have expired refuses keys issued before them")
{
    WriterFixture fixture;
    REQUIRE(fixture.verdict("first", {0, 0}) == Claims::Verdict::Won);
    REQUIRE(fixture.verdict("next", {0, 1}, "other") == Claims::Verdict::Won);
    fixture.m_log.expireRecordsBefore(2);
    fixture.restart();
    REQUIRE(fixture.verdict("second", {0, 0}) == Claims::Verdict::Expired);
}

TEST_CASE("after the log has lost records, older keys are refused and new keys work")
{
    // The record with the claim is lost, and its offset will be assigned again. The caller's retry must not run a second time.
    WriterFixture fixture;
    const Claims::Epoch before = fixture.awaitEpoch();
    REQUIRE(fixture.verdict("first", before) == Claims::Verdict::Won);
    fixture.m_log.dropRecordsFrom(1);
    while (fixture.m_metrics.counter("claims_stream_restarts_total").value() == 0) {
        std::this_thread::yield();
    }
    fixture.awaitEpoch();
    REQUIRE(fixture.verdict("second", before) == Claims::Verdict::Expired);
    const Claims::Epoch after = fixture.awaitEpoch();
    REQUIRE(after.m_generation == 1);
    REQUIRE(fixture.verdict("third", after, "new") == Claims::Verdict::Won);
}

TEST_CASE("a writer that stopped reading misses no claim that was made meanwhile")
{
    // Other entries rank higher for a while, and this one stops reading. When it is a writer again, it must not treat a claimed key as free.
    WriterFixture fixture;
    fixture.m_writer->setReading(false);
    REQUIRE_FALSE(fixture.m_writer->epoch());
    REQUIRE(fixture.claim("refused", {0, 0}).error().m_code == Core::ErrorCode::Unavailable);
    Telemetry::Metrics metrics;
    Claims::ClaimWriter other(fixture.m_log, "entry-2", Claims::WriterSettings(), metrics);
    other.start();
    other.setReading(true);
    while (!other.epoch()) {
        std::this_thread::yield();
    }
    Claims::Claim claim;
    claim.m_key = Claims::ClaimKey{{0, 0}, "k"};
    claim.m_attempt = "first";
    std::promise<bool> won;
    other.submit(Claims::ClaimRequest{{}, {claim}}, [&won](const Core::Result<Claims::ClaimAnswer> &answer) { won.set_value(answer.has_value()); });
    REQUIRE(won.get_future().get());
    fixture.m_writer->setReading(true);
    fixture.awaitEpoch();
    REQUIRE(fixture.verdict("second", {0, 0}) == Claims::Verdict::Lost);
}

TEST_CASE("few entries write claims, and claims on one key go to the same one")
{
    std::vector<Protocol::Member> members;
    for (int index = 0; index < 13; ++index) {
        Protocol::Member member;
        member.m_id = "entry-" + std::to_string(index);
        members.push_back(member);
    }
    std::set<std::string> writers;
    for (int index = 0; index < 200; ++index) {
        writers.insert(Claims::selectClaimWriters(members, "key-" + std::to_string(index)).front().m_id);
    }
    REQUIRE(writers.size() == Claims::WriterCount);
    std::reverse(members.begin(), members.end());
    REQUIRE(writers.contains(Claims::selectClaimWriters(members, "key-1").front().m_id));
    for (Protocol::Member &member : members) {
        member.m_leaving = true;
    }
    REQUIRE(Claims::selectClaimWriters(members, "key-1").empty());
}
