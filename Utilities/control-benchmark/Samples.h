/// @file Templates and members of sample fleets for measurements.
#pragma once

#include "LibControl/Records.h"

#include <string>
#include <vector>

namespace Benchmark {

/// Returns a template with ten client accounts that share about @p replicas replicas; the first two get half of them. @p digest selects the version.
Control::Template makeTemplate(int replicas, char digest);
/// Returns @p instances agents in four failure domains.
std::vector<Protocol::Member> makeFleet(int instances);
/// Returns the record that publishes a template.
Control::Record makePublishRecord(Control::Offset basedOn, const Control::Template &published);

}
