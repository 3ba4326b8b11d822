/// @file Draws serving replicas over time against the bound.
#pragma once

#include "BurstRun.h"

#include <string>

namespace Burst {

/// An SVG picture.
std::string drawPlot(const Options &options, const Figures &figures);

}
