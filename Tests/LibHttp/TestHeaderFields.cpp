/// @file Tests header fields and request targets.

#include "LibHttp/HeaderFields.h"

#include <catch2/catch.hpp>

TEST_CASE("Fields of one connection are not passed on")
{
    const Http::HeaderFields fields{{"Host", "a"},
                                    {"Connection", "close, X-Private"},
                                    {"x-private", "1"},
                                    {"Keep-Alive", "timeout=5"},
                                    {"Transfer-Encoding", "chunked"},
                                    {"Content-Length", "3"},
                                    {"X-Kept", "2"}};
    const Http::HeaderFields kept{{"Host", "a"}, {"X-Kept", "2"}};
    CHECK(Http::endToEndFields(fields) == kept);
}

TEST_CASE("Host names are reduced to lower case without a port")
{
    CHECK(Http::hostName("Plans.Example:8080") == "plans.example");
    CHECK(Http::hostName(" plans.example ") == "plans.example");
}

TEST_CASE("Query values are decoded, and absent or invalid values are empty")
{
    CHECK(Http::queryValue("/r?name=a%20b&zone=x", "name") == "a b");
    CHECK(Http::queryValue("/r?name=a&zone=x", "zone") == "x");
    CHECK_FALSE(Http::queryValue("/r?name=%zz", "name"));
    CHECK_FALSE(Http::queryValue("/r", "name"));
    CHECK(Http::pathOf("/a/b?c=/d/") == "/a/b");
}

TEST_CASE("Only decimal digits that fit into 64 bits are parsed as a number")
{
    CHECK(Http::parseNumber("17") == 17);
    CHECK_FALSE(Http::parseNumber(""));
    CHECK_FALSE(Http::parseNumber("-1"));
    CHECK_FALSE(Http::parseNumber("1x"));
    CHECK_FALSE(Http::parseNumber("99999999999999999999999"));
}

TEST_CASE("Only decimal seconds are read as Retry-After")
{
    CHECK(Http::parseRetryAfter("3") == Core::Duration(3000));
    CHECK(Http::parseRetryAfter("0.25") == Core::Duration(250));
    CHECK(Http::parseRetryAfter("0") == Core::Duration(0));
    CHECK(Http::parseRetryAfter("99999999999999999999999999").has_value());
    const std::string wrong = GENERATE("", "Wed, 21 Oct 2015 07:28:00 GMT", "-1", "soon", "nan", "inf", "1e3", "0x10", "3 s");
    CAPTURE(wrong);
    CHECK_FALSE(Http::parseRetryAfter(wrong));
}
