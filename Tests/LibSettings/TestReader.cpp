/// @file All mistakes in a settings document are reported in one pass, each with its line.

#include "LibSettings/Reader.h"

#include <catch2/catch.hpp>

namespace {

Settings::Problems readExample(const std::string &content)
{
    return Settings::readDocument(content, "example.yaml", [](Settings::Reader &reader) {
        reader.text("name");
        reader.integer("replicas", 1, 10);
        reader.address("listen");
        reader.section("limits", [](Settings::Reader &limits) { limits.integer("bytes", 1, 100, 50); });
    });
}

}

TEST_CASE("A valid document has no problems")
{
    REQUIRE(readExample("name: a\nreplicas: 3\nlisten: 127.0.0.1:80\nlimits: {bytes: 7}\n").empty());
}

TEST_CASE("Every mistake is reported with its line, field and expected value")
{
    const Settings::Problems problems = readExample("name: a\nreplicas: many\nlisten: somewhere:80\nlimits:\n  bytes: 700\n  colour: red\n");
    REQUIRE(problems.size() == 4);
    REQUIRE(problems[0].message() == "example.yaml:2: replicas: expected a whole number from 1 to 10");
    REQUIRE(problems[1].message() == "example.yaml:3: listen: expected IP-number:port; the host is not an IP number");
    REQUIRE(problems[2].message() == "example.yaml:5: limits.bytes: expected a whole number from 1 to 100");
    REQUIRE(problems[3].message() == "example.yaml:6: limits.colour: unknown field");
}

TEST_CASE("Documents whose aliases multiply are refused, and other aliases are read")
{
    // Nine levels of lists with nine aliases each stand for hundreds of millions of values. A program that walks over them hangs without an error.
    std::string document = "name: a\nreplicas: 3\nlisten: 127.0.0.1:80\nlimits: {bytes: 7}\na0: &a0 x\n";
    for (int level = 1; level <= 9; ++level) {
        const std::string below = "*a" + std::to_string(level - 1);
        document += "a" + std::to_string(level) + ": &a" + std::to_string(level) + " [";
        for (int count = 0; count < 9; ++count) {
            document += (count == 0 ? "" : ", ") + below;
        }
        document += "]\n";
    }
    const Settings::Problems problems = readExample(document);
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].m_field == "document");
    CHECK(readExample("name: &n a\nreplicas: 3\nlisten: 127.0.0.1:80\nlimits: {bytes: 7}\n").empty());
    const Settings::Problems unknown = readExample("name: &n a\nreplicas: 3\nlisten: 127.0.0.1:80\nlimits: {bytes: 7}\nother: *n\n");
    REQUIRE(unknown.size() == 1);
    CHECK(unknown[0].m_field == "other");
}

TEST_CASE("Missing, duplicate and too deeply nested fields are refused")
{
    REQUIRE(readExample("name: a\n").size() == 2);
    REQUIRE(readExample("name: a\nname: b\nreplicas: 3\nlisten: 127.0.0.1:80\n").size() == 1);
    REQUIRE(readExample(std::string(10000, '[')).size() == 1);
    REQUIRE(readExample("name: [").size() == 1);
}

TEST_CASE("A file without an end is a problem")
{
    // Guards against a program that reads such a file until its memory is used up.
    const Settings::Problems problems = Settings::readFile("/dev/zero", [](Settings::Reader &) {});
    REQUIRE(problems.size() == 1);
    CHECK(problems.front().m_expected.starts_with("expected at most"));
}
