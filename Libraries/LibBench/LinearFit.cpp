/// @file Implementation of the least-squares fit.

#include "LibBench/LinearFit.h"

#include <algorithm>
#include <cmath>

namespace Bench {

LinearFit fitLine(const std::vector<Point> &points)
{
    LinearFit fit;
    if (points.empty()) {
        return fit;
    }
    const double count = static_cast<double>(points.size());
    double meanX = 0;
    double meanY = 0;
    for (const Point &point : points) {
        meanX += point.m_x / count;
        meanY += point.m_y / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const Point &point : points) {
        covariance += (point.m_x - meanX) * (point.m_y - meanY);
        variance += (point.m_x - meanX) * (point.m_x - meanX);
    }
    fit.m_slope = variance > 0 ? covariance / variance : 0;
    fit.m_intercept = meanY - fit.m_slope * meanX;
    for (const Point &point : points) {
        fit.m_largestResidual = std::max(fit.m_largestResidual, std::abs(point.m_y - fit.at(point.m_x)));
    }
    return fit;
}

}
