/// @file Plots the number of serving replicas over time against the bound.
#pragma once

#include "BurstRun.h"

#include <string>

namespace Burst {

/// Returns an SVG image.
std::string drawPlot(const Options &options, const Figures &figures);

}
