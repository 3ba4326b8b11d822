/// @file The fold over claims: who wins, what expires, and what a reader that started late may say.

#include "LibClaims/ClaimTable.h"
#include "LibWire/Pack.h"

#include <catch2/catch.hpp>

namespace {

constexpr Claims::Offset Window = 10;

Claims::Claim makeClaim(const std::string &attempt, Claims::Epoch epoch, const std::string &text = "k")
{
    Claims::Claim claim;
    claim.m_key = Claims::ClaimKey{epoch, text};
    claim.m_attempt = attempt;
    return claim;
}

std::string record(const std::string &id, std::vector<Claims::Claim> claims, std::vector<Claims::AttemptTombstone> bars = {}, std::uint64_t generation = 0)
{
    Claims::ClaimBatch batch;
    batch.m_id = id;
    batch.m_generation = generation;
    batch.m_tombstones = std::move(bars);
    batch.m_claims = std::move(claims);
    return Wire::pack(batch);
}

Claims::Verdict verdictOf(const Claims::AppliedBatch &folded)
{
    return folded.m_results.at(0).m_verdict;
}

}

TEST_CASE("the first claim in offset order wins, and the others learn who holds the key")
{
    Claims::ClaimTable table(Window);
    const Claims::Claim first = makeClaim("first", {0, 0});
    REQUIRE(verdictOf(table.apply(1, record("a", {first}))) == Claims::Verdict::Won);
    const Claims::AppliedBatch second = table.apply(2, record("b", {makeClaim("second", {0, 0})}));
    REQUIRE(verdictOf(second) == Claims::Verdict::Lost);
    REQUIRE(second.m_results[0].m_holder == first);
    REQUIRE(verdictOf(table.apply(3, record("c", {first}))) == Claims::Verdict::Won);
}

TEST_CASE("a key older than the window is refused although its claim is forgotten")
{
    // A caller comes back with a key from hours ago. The claim that ran under it has left the window. Taken for a fresh key it would run again.
    Claims::ClaimTable table(Window);
    REQUIRE(verdictOf(table.apply(1, record("a", {makeClaim("first", {0, 0})}))) == Claims::Verdict::Won);
    for (Claims::Offset offset = 2; offset <= Window + 2; ++offset) {
        table.apply(offset, record("x", {}));
    }
    REQUIRE(table.findHolder("k") == nullptr);
    REQUIRE(verdictOf(table.apply(Window + 3, record("b", {makeClaim("second", {0, 0})}))) == Claims::Verdict::Expired);
}

TEST_CASE("a key lives for the whole window after its epoch, so that no claim on it can be forgotten sooner")
{
    Claims::ClaimTable table(Window);
    for (Claims::Offset offset = 1; offset < Window; ++offset) {
        table.apply(offset, record("x", {}));
    }
    REQUIRE(verdictOf(table.apply(Window, record("a", {makeClaim("first", {0, 0})}))) == Claims::Verdict::Won);
    REQUIRE(verdictOf(table.apply(Window + 1, record("b", {makeClaim("second", {0, 0})}))) == Claims::Verdict::Expired);
}

TEST_CASE("a reader that started in the middle refuses keys that may have been claimed before")
{
    // A writer was replaced, and the log no longer holds the records from before its start. A key from then may have been claimed in one of them.
    Claims::ClaimTable table(Window);
    table.startAt(7);
    REQUIRE(verdictOf(table.apply(7, record("a", {makeClaim("old", {0, 5}, "old")}))) == Claims::Verdict::Expired);
    REQUIRE(verdictOf(table.apply(8, record("b", {makeClaim("new", {0, 6}, "new")}))) == Claims::Verdict::Won);
}

TEST_CASE("an epoch that was never handed out is refused")
{
    Claims::ClaimTable table(Window);
    REQUIRE(verdictOf(table.apply(1, record("a", {makeClaim("early", {0, 5})}))) == Claims::Verdict::Expired);
}

TEST_CASE("a barred attempt frees its key, and its late claim counts for nothing")
{
    // An append's answer was lost and the entry gave the attempt up. The claim lands after the bar; the key must not be held by a dead attempt.
    Claims::ClaimTable table(Window);
    REQUIRE(verdictOf(table.apply(1, record("a", {makeClaim("dead", {0, 0})}))) == Claims::Verdict::Won);
    table.apply(2, record("b", {}, {Claims::AttemptTombstone{"k", "dead"}}));
    REQUIRE(verdictOf(table.apply(3, record("c", {makeClaim("dead", {0, 0})}))) == Claims::Verdict::Tombstoned);
    REQUIRE(verdictOf(table.apply(4, record("d", {makeClaim("alive", {0, 0})}))) == Claims::Verdict::Won);
    table.apply(5, record("e", {}, {Claims::AttemptTombstone{"k", "dead"}}));
    REQUIRE(table.findHolder("k")->m_attempt == "alive");
}

TEST_CASE("after a generation starts, older keys and older writers count for nothing")
{
    // The log came back with records missing, and hands their offsets out again. A claim that stood in one of them is lost, so its key would look
    // fresh; and a writer that was paused through all this still numbers by the old history.
    Claims::ClaimTable table(Window);
    table.apply(1, record("a", {makeClaim("first", {0, 0})}));
    table.restartAt(1);
    REQUIRE(verdictOf(table.apply(1, record("b", {makeClaim("second", {0, 0}, "other")}, {}, 1))) == Claims::Verdict::Expired);
    REQUIRE(verdictOf(table.apply(2, record("c", {makeClaim("paused", {1, 1}, "other")}, {}, 0))) == Claims::Verdict::Expired);
    REQUIRE(verdictOf(table.apply(3, record("d", {makeClaim("third", {1, 1}, "other")}, {}, 1))) == Claims::Verdict::Won);
    REQUIRE(table.epoch() == Claims::Epoch{1, 3});
}

TEST_CASE("malformed records are passed over")
{
    Claims::ClaimTable table(Window);
    REQUIRE(table.apply(1, "not a record").m_id.empty());
    REQUIRE(verdictOf(table.apply(2, record("a", {makeClaim("first", {0, 0})}))) == Claims::Verdict::Won);
}

TEST_CASE("keys are read with their epoch, and bad ones refused")
{
    REQUIRE(Claims::parseClaimKey("12.order-7").value() == Claims::ClaimKey{{0, 12}, "12.order-7"});
    REQUIRE(Claims::parseClaimKey("12-3.order.7").value() == Claims::ClaimKey{{3, 12}, "12-3.order.7"});
    REQUIRE(Claims::formatEpoch({3, 12}) == "12-3");
    for (const char *bad : {"", "order", "12.", ".", "x.y", "-1.x", "1-.x", "12.a b", "99999999999999999999.x"}) {
        INFO(bad);
        REQUIRE(Claims::parseClaimKey(bad).error().m_code == Core::ErrorCode::InvalidInput);
    }
    REQUIRE_FALSE(Claims::parseClaimKey("1." + std::string(Claims::MaximumKeyBytes, 'x')));
}

TEST_CASE("a key without an epoch is refused as not run, not as malformed")
{
    // While no entry can read the claims, callers are given an empty key_epoch. Their call is to be refused with a time to come back; called malformed,
    // a caller would take its own request for broken and give the booking up.
    REQUIRE(Claims::parseClaimKey(".order-7").error().m_code == Core::ErrorCode::Unavailable);
}
