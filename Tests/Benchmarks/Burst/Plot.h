/// @file Plots the number of serving replicas over time, with a line at the time bound of the burst (Figures::m_boundSeconds).
#pragma once

#include "BurstRun.h"

#include <string>

namespace Burst {

/// Returns an SVG image.
std::string drawPlot(const Options &options, const Figures &figures);

}
