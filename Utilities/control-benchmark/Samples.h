/// @file Templates and members of made-up fleets, for measurements.
#pragma once

#include "LibControl/Records.h"

#include <string>
#include <vector>

namespace Benchmark {

/// Ten accounts over @p replicas replicas in all; the first two want half of them.
Control::Template makeTemplate(int replicas, char digest);
std::vector<Protocol::Member> makeFleet(int instances);
Control::Record makePublishRecord(Control::Offset basedOn, const Control::Template &published);

}
