/// @file Tests of the linear fit and of parsing metrics.

#include "LibBench/LinearFit.h"
#include "LibBench/Sample.h"

#include <catch2/catch.hpp>

TEST_CASE("Points on a line give its slope, its intercept and no residual")
{
    const Bench::LinearFit fit = Bench::fitLine({{1, 5}, {2, 7}, {4, 11}});
    REQUIRE(fit.m_slope == Approx(2));
    REQUIRE(fit.m_intercept == Approx(3));
    REQUIRE(fit.m_largestResidual == Approx(0).margin(1e-9));
}

TEST_CASE("A point off the line gives a residual, and a single point has no slope")
{
    REQUIRE(Bench::fitLine({{0, 0}, {1, 3}, {2, 0}}).m_largestResidual == Approx(2));
    REQUIRE(Bench::fitLine({{3, 4}}).m_slope == 0);
}

TEST_CASE("Metrics with labels are parsed from Prometheus text")
{
    const std::map<std::string, double> metrics = Bench::parseMetrics("# a comment\na_total{purpose=\"x\"} 12\nb 0.5\nbroken\n");
    REQUIRE(metrics.at("a_total{purpose=\"x\"}") == 12);
    REQUIRE(metrics.at("b") == 0.5);
    REQUIRE(metrics.size() == 2);
}
