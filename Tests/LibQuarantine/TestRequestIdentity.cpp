/// @file Tests of the identities of requests.

#include "LibQuarantine/RequestIdentity.h"

#include <catch2/catch.hpp>

using Quarantine::identityPrefix;
using Quarantine::isRequestIdentity;
using Quarantine::RequestContent;
using Quarantine::requestIdentity;

namespace {

RequestContent content()
{
    RequestContent made;
    made.m_account = "buyer";
    made.m_method = "POST";
    made.m_host = "a";
    made.m_target = "/draft/1?x=2";
    made.m_promptParts = {"a11", "5e55", "03"};
    made.m_promptTokens = 400;
    made.m_answerTokens = 80;
    return made;
}

}

TEST_CASE("Requests that differ in anything a caller keeps have different identities")
{
    const std::vector<std::function<void(RequestContent &)>> changes{
        [](RequestContent &changed) { changed.m_account = "other"; },
        [](RequestContent &changed) { changed.m_method = "PUT"; },
        [](RequestContent &changed) { changed.m_host = "b"; },
        [](RequestContent &changed) { changed.m_target = "/draft/1?x=3"; },
        [](RequestContent &changed) { changed.m_promptParts.back() = "4"; },
        [](RequestContent &changed) { changed.m_promptParts.pop_back(); },
        [](RequestContent &changed) { changed.m_promptTokens = 401; },
        [](RequestContent &changed) { changed.m_answerTokens = 81; },
    };
    for (const std::function<void(RequestContent &)> &change : changes) {
        RequestContent changed = content();
        change(changed);
        CHECK(requestIdentity(changed, "body") != requestIdentity(content(), "body"));
        CHECK(identityPrefix(changed) != identityPrefix(content()));
    }
    CHECK(requestIdentity(content(), "body") != requestIdentity(content(), "bodies"));
}

TEST_CASE("Bytes moved from one field to the next give another identity")
{
    RequestContent moved = content();
    moved.m_host = "a/draft";
    moved.m_target = "/1?x=2";
    CHECK(requestIdentity(moved, "body") != requestIdentity(content(), "body"));
}

TEST_CASE("The same request has one identity, whose beginning is known without the body, and which no part of a prompt has")
{
    RequestContent spelled = content();
    spelled.m_promptParts = {"A11", "05e55", "3"};
    CHECK(requestIdentity(spelled, "body") == requestIdentity(content(), "body"));
    const Quarantine::PromptPart identity = requestIdentity(content(), std::string(4 << 20, 'x'));
    CHECK(identity.m_id.starts_with(identityPrefix(content())));
    CHECK(identity.m_id.size() <= Quarantine::MaximumPartIdLength);
    CHECK(isRequestIdentity(identity));
    CHECK_FALSE(isRequestIdentity(Quarantine::PromptPart{"drafts", Quarantine::normalizedPartIds({identity.m_id}).front()}));
}

TEST_CASE("Requests that differ only in their last part are told apart, however many parts they share and whichever it is")
{
    RequestContent many = content();
    many.m_promptParts.clear();
    for (std::size_t number = 0; number < 2 * Quarantine::MaximumPartsPerPrompt; ++number) {
        many.m_promptParts.push_back(std::to_string(number));
    }
    RequestContent other = many;
    many.m_promptParts.emplace_back("a1");
    other.m_promptParts.emplace_back("a2");
    CHECK(requestIdentity(many, "") != requestIdentity(other, ""));
    RequestContent first = content();
    RequestContent second = content();
    first.m_promptParts = {"a", "b", "a"};
    second.m_promptParts = {"a", "b", "b"};
    CHECK(requestIdentity(first, "") != requestIdentity(second, ""));
}
