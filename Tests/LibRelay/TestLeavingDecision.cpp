/// @file Tests of the decision whether a leaving process begins a request, and of the answer times that it rests on.

#include "LibRelay/AnswerTimes.h"
#include "LibRelay/LeavingDecision.h"

#include <catch2/catch.hpp>

using Relay::AnswerTimes;
using Relay::LeavingView;

namespace {

constexpr std::size_t EnoughAnswers = 20;
constexpr Core::Duration Minute{60000};
const Core::Instant Start = Core::Instant() + Minute;

AnswerTimes observed(Core::Duration taken)
{
    AnswerTimes times;
    for (std::size_t count = 0; count < EnoughAnswers; ++count) {
        times.record("route", Core::Duration(0), taken, Start);
    }
    return times;
}

}

TEST_CASE("A request begins only if its time limit or its expected answer is over before the process ends")
{
    CHECK(Relay::endsInTime(LeavingView{Core::Duration(5000), Core::Duration(5000), std::nullopt}));
    CHECK_FALSE(Relay::endsInTime(LeavingView{Core::Duration(5000), Core::Duration(5001), std::nullopt}));
    CHECK(Relay::endsInTime(LeavingView{Core::Duration(5000), Core::Duration(6000), Core::Duration(5000)}));
    CHECK_FALSE(Relay::endsInTime(LeavingView{Core::Duration(5000), Core::Duration(6000), Core::Duration(5001)}));
    CHECK_FALSE(Relay::endsInTime(LeavingView{Core::Duration(-1), Core::Duration(6000), Core::Duration(0)}));
}

TEST_CASE("Answers are expected to take longer than the longest recent one, in addition to what their size explains")
{
    AnswerTimes times = observed(Core::Duration(1000));
    times.record("route", Core::Duration(500), Core::Duration(2000), Start);
    CHECK(times.upperBound("route", Core::Duration(0), Start) > Core::Duration(1500));
    CHECK(times.upperBound("route", Core::Duration(3000), Start) > Core::Duration(4500));
    CHECK(times.upperBound("other", Core::Duration(0), Start) == std::nullopt);
}

TEST_CASE("Few or old answers do not show how long an answer takes")
{
    // Guards against one short answer that makes all others look short.
    AnswerTimes few;
    few.record("route", Core::Duration(0), Core::Duration(1), Start);
    CHECK(few.upperBound("route", Core::Duration(0), Start) == std::nullopt);
    const AnswerTimes times = observed(Core::Duration(1000));
    CHECK(times.upperBound("route", Core::Duration(0), Start + Minute / 2).has_value());
    CHECK(times.upperBound("route", Core::Duration(0), Start + Minute) == std::nullopt);
}

TEST_CASE("Answers of earlier periods do not count as recent ones")
{
    // Guards against a bound that rests on two answers of a route which is used seldom now.
    AnswerTimes times = observed(Core::Duration(1000));
    Core::Instant now = Start;
    for (std::size_t count = 0; count < EnoughAnswers; ++count) {
        now += 2 * Minute / 3;
        times.record("route", Core::Duration(0), Core::Duration(1), now);
    }
    CHECK(times.upperBound("route", Core::Duration(0), now) == std::nullopt);
}

TEST_CASE("The longest answer counts until a whole period has passed without one like it")
{
    AnswerTimes times = observed(Core::Duration(4000));
    for (std::size_t count = 0; count < EnoughAnswers; ++count) {
        times.record("route", Core::Duration(0), Core::Duration(100), Start + Minute / 2);
    }
    CHECK(times.upperBound("route", Core::Duration(0), Start + Minute / 2) > Core::Duration(4000));
    for (std::size_t count = 0; count < EnoughAnswers; ++count) {
        times.record("route", Core::Duration(0), Core::Duration(100), Start + Minute);
    }
    CHECK(times.upperBound("route", Core::Duration(0), Start + Minute) < Core::Duration(4000));
}

TEST_CASE("Routes that come and go do not fill the record without bound")
{
    AnswerTimes times;
    for (std::size_t route = 0; route < 4000; ++route) {
        times.record(std::to_string(route), Core::Duration(0), Core::Duration(1), Start);
    }
    CHECK(times.keyCount() <= 1024);
    times.record("later", Core::Duration(0), Core::Duration(1), Start + 2 * Minute);
    CHECK(times.keyCount() == 1);
}
