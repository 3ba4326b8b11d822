/// @file What the outside can see of a running fleet: pages of its processes and the journals of the stand-ins.
#pragma once

#include "LibBench/Fleet.h"

#include <cstdint>
#include <map>
#include <string>

namespace Scenario {

/// Bytes of weights that have left the origin, by its own journal; 0 if it cannot be asked.
std::uint64_t originBytesSent(const Bench::Fleet &fleet);

/// Offset that the log gives to the next record of the control stream.
Core::Result<std::uint64_t> nextControlOffset(const Bench::Fleet &fleet);

/// Content digests of the stored versions.
struct StoredDigests
{
    std::map<std::string, std::string> m_byVersion; ///< Of the fleet's models; each version name stands for one digest.
};

/// Asks the store for every manifest. Done once at the start, since a script may take the store down later.
Core::Result<StoredDigests> readStoredDigests(const Bench::Fleet &fleet);

/// Engines that serve the weights with this content digest, by what the engines themselves hold.
int servingReplicas(const Bench::Fleet &fleet, const std::string &contentDigest);

/// True if every entry and agent that answers has this revision in force, and at least one of each does answer.
bool isInForceEverywhere(const Bench::Fleet &fleet, std::uint64_t revision);

/// Value of a counter of a process; 0 if the process or the counter is not there.
double counterValue(const Bench::Fleet &fleet, const std::string &process, const std::string &name);

/// How many addresses the entries name to callers; the largest answer counts.
std::int64_t countListedAddresses(const Bench::Fleet &fleet);

/// Revision that the command line printed for an accepted publication.
Core::Result<std::uint64_t> parsePublishedRevision(const std::string &output);

/// Counts that the load tool printed as JSON; nested objects are joined with dots.
Core::Result<std::map<std::string, double>> parseLoadResult(const std::string &output);

/// A few lines for a report of a wait that did not end.
std::string describeFleet(const Bench::Fleet &fleet);

}
