/// @file Least-squares line through measured points.
#pragma once

#include <vector>

namespace Bench {

struct Point
{
    double m_x = 0;
    double m_y = 0;

    bool operator==(const Point &) const = default;
};

/// y = m_intercept + m_slope * x.
struct LinearFit
{
    double m_intercept = 0;
    double m_slope = 0;
    double m_largestResidual = 0; ///< Largest distance of a point from the line, in units of y.

    bool operator==(const LinearFit &) const = default;

    double at(double x) const
    {
        return m_intercept + m_slope * x;
    }
};

/// Fits a line; with fewer than two different x the slope is 0.
LinearFit fitLine(const std::vector<Point> &points);

}
