/// @file Least-squares fit of a line to measured points.
#pragma once

#include <vector>

namespace Bench {

/// A measured point.
struct Point
{
    double m_x = 0;
    double m_y = 0;

    bool operator==(const Point &) const = default;
};

/// The line y = m_intercept + m_slope * x.
struct LinearFit
{
    double m_intercept = 0;
    double m_slope = 0;
    double m_largestResidual = 0; ///< Largest vertical distance of a point from the line, in units of y.

    bool operator==(const LinearFit &) const = default;

    /// Returns the y value of the line at @p x.
    double at(double x) const
    {
        return m_intercept + m_slope * x;
    }
};

/// Fits a line. With fewer than two distinct x values the slope is 0.
LinearFit fitLine(const std::vector<Point> &points);

}
