/// @file Checks the guarantees of the system against what the stand-ins actually ran, not against the reports of the processes under test.
#pragma once

#include "LibBench/Fleet.h"
#include "LibScenario/FleetView.h"

namespace Scenario {

/// Fails with Internal and the details if an engine ran a request on weights of no stored version, or an idempotency key had more than one effect.
Core::Result<void> checkJournals(const Bench::Fleet &fleet, const StoredDigests &stored);

}
