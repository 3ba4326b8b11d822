/// @file Rejection of frames that are late, duplicate, missing, reordered, modified, or of another attempt or version.

#include "LibRouting/AnswerChecker.h"

#include <catch2/catch.hpp>

namespace {

constexpr const char *Attempt = "attempt-1";
constexpr const char *Version = "digest-7";

/// Frames of a complete answer of three tokens.
std::vector<Protocol::AnswerFrame> completeAnswer(const std::string &attempt = Attempt)
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

/// True if the checker accepts all frames and considers the answer complete.
bool isAccepted(const std::vector<Protocol::AnswerFrame> &frames)
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

TEST_CASE("a complete answer is accepted")
{
    REQUIRE(isAccepted(completeAnswer()));
}

TEST_CASE("a frame of another attempt is rejected")
{
    // An earlier attempt's answer arrives late, or a frame of another caller's answer enters this stream. The caller would get another caller's text.
    std::vector<Protocol::AnswerFrame> frames = completeAnswer();
    frames[1] = completeAnswer("attempt-0")[1];
    REQUIRE_FALSE(isAccepted(frames));
}

TEST_CASE("a duplicate, missing or reordered frame is rejected")
{
    // A frame is sent twice after an error, or lost with a connection. The answer would look complete, but repeat or omit text.
    std::vector<Protocol::AnswerFrame> frames = completeAnswer();
    SECTION("duplicate")
    {
        frames.insert(frames.begin() + 1, frames[1]);
    }
    SECTION("missing")
    {
        frames.erase(frames.begin() + 1);
    }
    SECTION("reordered")
    {
        std::swap(frames[0], frames[1]);
    }
    SECTION("missing, with the following frames renumbered")
    {
        frames.erase(frames.begin() + 1);
        frames[1].m_number = 1;
        frames[2].m_number = 2;
    }
    REQUIRE_FALSE(isAccepted(frames));
}

TEST_CASE("a truncated answer is never complete")
{
    for (std::size_t length = 0; length < completeAnswer().size(); ++length) {
        std::vector<Protocol::AnswerFrame> frames = completeAnswer();
        frames.resize(length);
        REQUIRE_FALSE(isAccepted(frames));
    }
}

TEST_CASE("modified text does not match the digest in the end frame")
{
    std::vector<Protocol::AnswerFrame> frames = completeAnswer();
    frames[1].m_data = "cotton";
    REQUIRE_FALSE(isAccepted(frames));
}

TEST_CASE("a frame of another version is rejected")
{
    // The engine switched versions between the routing decision and the call. The answer would come from weights that the account has not accepted.
    std::vector<Protocol::AnswerFrame> frames = completeAnswer();
    frames[2].m_version = "digest-8";
    REQUIRE_FALSE(isAccepted(frames));
}

TEST_CASE("a frame with an invalid status is rejected")
{
    // An endpoint in trouble sends such a status, and an agent of another release passes it on. The caller would get it as the answer.
    const std::int32_t status = GENERATE(-1, 0, 1, 99, 100, 199, 600, 999);
    const std::size_t frame = GENERATE(0, 3);
    CAPTURE(status, frame);
    std::vector<Protocol::AnswerFrame> frames = completeAnswer();
    frames[frame].m_status = status;
    REQUIRE_FALSE(isAccepted(frames));
}

TEST_CASE("an answer of any status of HTTP is accepted")
{
    const std::int32_t status = GENERATE(204, 302, 404, 500, 599);
    std::vector<Protocol::AnswerFrame> frames = completeAnswer();
    for (Protocol::AnswerFrame &frame : frames) {
        frame.m_status = status;
    }
    REQUIRE(isAccepted(frames));
}

TEST_CASE("a frame after the end frame is rejected")
{
    std::vector<Protocol::AnswerFrame> frames = completeAnswer();
    frames.push_back(frames.back());
    REQUIRE_FALSE(isAccepted(frames));
}
