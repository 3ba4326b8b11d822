/// @file Judges the promises from what the stand-ins truly did, not from what the product's processes say.
#pragma once

#include "LibBench/Fleet.h"
#include "LibScenario/FleetView.h"

namespace Scenario {

/// Fails, naming the evidence, if an engine ran a request on weights that no stored version has, or a key had more than one effect.
Core::Result<void> checkJournals(const Bench::Fleet &fleet, const StoredDigests &stored);

}
