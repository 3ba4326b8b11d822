/// @file Answers that come late, crossed, doubled, cut or from another version.

#include "LibRouting/AnswerChecker.h"

#include <catch2/catch.hpp>

namespace {

constexpr const char *Attempt = "attempt-1";
constexpr const char *Version = "digest-7";

/// The frames of a whole answer of three tokens.
std::vector<Protocol::AnswerFrame> wholeAnswer(const std::string &attempt = Attempt)
{
    std::vector<Protocol::AnswerFrame> frames;
    Core::Sha256 digest;
    std::uint64_t bytes = 0;
    for (const char *token : {"red ", "linen ", "frames"}) {
        Protocol::AnswerFrame frame;
        frame.m_attempt = attempt;
        frame.m_number = frames.size();
        frame.m_version = Version;
        frame.m_data = token;
        digest.update(frame.m_data);
        bytes += frame.m_data.size();
        frames.push_back(frame);
    }
    Protocol::AnswerFrame end;
    end.m_attempt = attempt;
    end.m_number = frames.size();
    end.m_kind = Protocol::AnswerKind::End;
    end.m_version = Version;
    end.m_totalBytes = bytes;
    end.m_totalDigest = digest.finishHex();
    frames.push_back(end);
    return frames;
}

/// Whether the checker takes all frames, and holds the answer for whole.
bool isTaken(const std::vector<Protocol::AnswerFrame> &frames)
{
    Routing::AnswerChecker checker(Attempt, Version, "peer");
    for (const Protocol::AnswerFrame &frame : frames) {
        const Core::Result<void> checked = checker.check(frame);
        if (!checked) {
            REQUIRE(checked.error().m_code == Core::ErrorCode::Corrupt);
            return false;
        }
    }
    return checker.isComplete();
}

}

TEST_CASE("a whole answer is taken")
{
    REQUIRE(isTaken(wholeAnswer()));
}

TEST_CASE("a frame of another attempt is not taken")
{
    // An earlier attempt's answer comes late, or another caller's frame is crossed into this stream. The buyer would read somebody else's draft.
    std::vector<Protocol::AnswerFrame> frames = wholeAnswer();
    frames[1] = wholeAnswer("attempt-0")[1];
    REQUIRE_FALSE(isTaken(frames));
}

TEST_CASE("a doubled, missing or swapped frame is not taken")
{
    // A frame is sent again after a hiccup, or lost with a connection. The plan would repeat a wall, or leave one out, and look complete.
    std::vector<Protocol::AnswerFrame> frames = wholeAnswer();
    SECTION("doubled")
    {
        frames.insert(frames.begin() + 1, frames[1]);
    }
    SECTION("missing")
    {
        frames.erase(frames.begin() + 1);
    }
    SECTION("swapped")
    {
        std::swap(frames[0], frames[1]);
    }
    SECTION("missing, with the numbers closed up")
    {
        frames.erase(frames.begin() + 1);
        frames[1].m_number = 1;
        frames[2].m_number = 2;
    }
    REQUIRE_FALSE(isTaken(frames));
}

TEST_CASE("a cut answer is never whole")
{
    for (std::size_t length = 0; length < wholeAnswer().size(); ++length) {
        std::vector<Protocol::AnswerFrame> frames = wholeAnswer();
        frames.resize(length);
        REQUIRE_FALSE(isTaken(frames));
    }
}

TEST_CASE("changed text does not match the digest at the end")
{
    std::vector<Protocol::AnswerFrame> frames = wholeAnswer();
    frames[1].m_data = "cotton";
    REQUIRE_FALSE(isTaken(frames));
}

TEST_CASE("an answer of another version is not taken")
{
    // The engine was switched over between the choice and the call. The draft would come from weights that the account has not accepted.
    std::vector<Protocol::AnswerFrame> frames = wholeAnswer();
    frames[2].m_version = "digest-8";
    REQUIRE_FALSE(isTaken(frames));
}

TEST_CASE("nothing is taken after the end")
{
    std::vector<Protocol::AnswerFrame> frames = wholeAnswer();
    frames.push_back(frames.back());
    REQUIRE_FALSE(isTaken(frames));
}
