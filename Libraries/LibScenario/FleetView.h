/// @file Observes a running fleet from outside, through the HTTP pages of its processes and the journals of the stand-ins.
#pragma once

#include "LibBench/Fleet.h"

#include <cstdint>
#include <map>
#include <string>

namespace Scenario {

/// Returns the bytes of weights that the origin has sent, according to its journal; 0 if it does not answer.
std::uint64_t originBytesSent(const Bench::Fleet &fleet);

/// Returns the offset that the log will assign to the next record of the control stream.
Core::Result<std::uint64_t> nextControlOffset(const Bench::Fleet &fleet);

/// Content digests of the stored versions.
struct StoredDigests
{
    std::map<std::string, std::string> m_byVersion; ///< By version name; each version name has exactly one digest across the models of the fleet.
};

/// Reads the manifest of every stored version from the origin. Called once at the start, since a script may take the origin down later.
Core::Result<StoredDigests> readStoredDigests(const Bench::Fleet &fleet);

/// Returns the number of engines that serve the weights with this content digest, according to the status of the engines.
int servingReplicas(const Bench::Fleet &fleet, const std::string &contentDigest);

/// Returns true if every entry and agent that answers has applied this revision, and at least one entry and one agent answer.
bool isInForceEverywhere(const Bench::Fleet &fleet, std::uint64_t revision);

/// Returns the value of a counter of a process; 0 if the process does not answer or has no such counter.
double counterValue(const Bench::Fleet &fleet, const std::string &process, const std::string &name);

/// Returns the largest number of addresses that any entry lists to callers.
std::int64_t countListedAddresses(const Bench::Fleet &fleet);

/// Parses the revision from the output of the command line for an accepted publication. Fails with Corrupt.
Core::Result<std::uint64_t> parsePublishedRevision(const std::string &output);

/// Parses the JSON output of the load tool. Names of nested values are joined with dots. Fails with Corrupt.
Core::Result<std::map<std::string, double>> parseLoadResult(const std::string &output);

/// Returns the state of all entries, agents and engines as text, for the error of a wait that timed out.
std::string describeFleet(const Bench::Fleet &fleet);

}
