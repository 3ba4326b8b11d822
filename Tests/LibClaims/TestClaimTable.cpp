/// @file Claim table: which claim wins, which keys expire, and which keys a reader that started late refuses.

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

std::string makeRecord(const std::string &id, std::vector<Claims::Claim> claims, std::vector<Claims::AttemptTombstone> bars = {}, std::uint64_t generation = 0)
{
    Claims::ClaimBatch batch;
    batch.m_id = id;
    batch.m_generation = generation;
    batch.m_tombstones = std::move(bars);
    batch.m_claims = std::move(claims);
    return Wire::pack(batch);
}

Claims::Verdict verdictOf(const Claims::AppliedBatch &applied)
{
    return applied.m_results.at(0).m_verdict;
}

}

TEST_CASE("the first claim in offset order wins, and later claims are told the holder of the key")
{
    Claims::ClaimTable table(Window);
    const Claims::Claim first = makeClaim("first", {0, 0});
    REQUIRE(verdictOf(table.apply(1, makeRecord("a", {first}))) == Claims::Verdict::Won);
    const Claims::AppliedBatch second = table.apply(2, makeRecord("b", {makeClaim("second", {0, 0})}));
    REQUIRE(verdictOf(second) == Claims::Verdict::Lost);
    REQUIRE(second.m_results[0].m_holder == first);
    REQUIRE(verdictOf(table.apply(3, makeRecord("c", {first}))) == Claims::Verdict::Won);
}

TEST_CASE("a key older than the window is refused although its claim has been removed")
{
    // A caller retries with a key whose claim has left the window. If the key were treated as new, the call would run again.
    Claims::ClaimTable table(Window);
    REQUIRE(verdictOf(table.apply(1, makeRecord("a", {makeClaim("first", {0, 0})}))) == Claims::Verdict::Won);
    for (Claims::Offset offset = 2; offset <= Window + 2; ++offset) {
        table.apply(offset, makeRecord("x", {}));
    }
    REQUIRE(table.findHolder("k") == nullptr);
    REQUIRE(verdictOf(table.apply(Window + 3, makeRecord("b", {makeClaim("second", {0, 0})}))) == Claims::Verdict::Expired);
}

TEST_CASE("a key expires exactly one window after its epoch, and no claim on it is removed before")
{
    Claims::ClaimTable table(Window);
    for (Claims::Offset offset = 1; offset < Window; ++offset) {
        table.apply(offset, makeRecord("x", {}));
    }
    REQUIRE(verdictOf(table.apply(Window, makeRecord("a", {makeClaim("first", {0, 0})}))) == Claims::Verdict::Won);
    REQUIRE(verdictOf(table.apply(Window + 1, makeRecord("b", {makeClaim("second", {0, 0})}))) == Claims::Verdict::Expired);
}

TEST_CASE("a reader that started in the middle of the stream refuses keys that may have been claimed before")
{
    // A writer was replaced, and the log no longer holds the records before its start. An older key may have been claimed in one of them.
    Claims::ClaimTable table(Window);
    table.startAt(7);
    REQUIRE(verdictOf(table.apply(7, makeRecord("a", {makeClaim("old", {0, 5}, "old")}))) == Claims::Verdict::Expired);
    REQUIRE(verdictOf(table.apply(8, makeRecord("b", {makeClaim("new", {0, 6}, "new")}))) == Claims::Verdict::Won);
}

TEST_CASE("an epoch that was never issued is refused")
{
    Claims::ClaimTable table(Window);
    REQUIRE(verdictOf(table.apply(1, makeRecord("a", {makeClaim("early", {0, 5})}))) == Claims::Verdict::Expired);
}

TEST_CASE("a tombstone releases the key of its attempt, and a later claim of the attempt has no effect")
{
    // The answer to an append was lost and the entry abandoned the attempt. The claim is appended after the tombstone, and must not hold the key.
    Claims::ClaimTable table(Window);
    REQUIRE(verdictOf(table.apply(1, makeRecord("a", {makeClaim("dead", {0, 0})}))) == Claims::Verdict::Won);
    table.apply(2, makeRecord("b", {}, {Claims::AttemptTombstone{"k", "dead"}}));
    REQUIRE(verdictOf(table.apply(3, makeRecord("c", {makeClaim("dead", {0, 0})}))) == Claims::Verdict::Tombstoned);
    REQUIRE(verdictOf(table.apply(4, makeRecord("d", {makeClaim("alive", {0, 0})}))) == Claims::Verdict::Won);
    table.apply(5, makeRecord("e", {}, {Claims::AttemptTombstone{"k", "dead"}}));
    REQUIRE(table.findHolder("k")->m_attempt == "alive");
}

TEST_CASE("after a new generation has started, keys and batches of older generations have no effect")
{
    // The log has lost records and assigns their offsets again. A claim in one of them is lost, so its key would look unused. A writer that was paused
    // meanwhile still uses the old generation.
    Claims::ClaimTable table(Window);
    table.apply(1, makeRecord("a", {makeClaim("first", {0, 0})}));
    table.restartAt(1);
    REQUIRE(verdictOf(table.apply(1, makeRecord("b", {makeClaim("second", {0, 0}, "other")}, {}, 1))) == Claims::Verdict::Expired);
    REQUIRE(verdictOf(table.apply(2, makeRecord("c", {makeClaim("paused", {1, 1}, "other")}, {}, 0))) == Claims::Verdict::Expired);
    REQUIRE(verdictOf(table.apply(3, makeRecord("d", {makeClaim("third", {1, 1}, "other")}, {}, 1))) == Claims::Verdict::Won);
    REQUIRE(table.epoch() == Claims::Epoch{1, 3});
}

TEST_CASE("malformed records are skipped")
{
    Claims::ClaimTable table(Window);
    REQUIRE(table.apply(1, "not a record").m_id.empty());
    REQUIRE(verdictOf(table.apply(2, makeRecord("a", {makeClaim("first", {0, 0})}))) == Claims::Verdict::Won);
}

TEST_CASE("keys are parsed with their epoch, and malformed keys are refused")
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
    // While no entry can read the claims, callers are given an empty key_epoch. Their calls must be refused with a retry time. A caller that is told its
    // key is malformed would give the call up.
    REQUIRE(Claims::parseClaimKey(".order-7").error().m_code == Core::ErrorCode::Unavailable);
}
