/// @file Instances, services, versions and links of a test fleet.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bench {

/// A failure domain and its region.
struct FailureDomain
{
    std::string m_name;
    std::string m_region;

    bool operator==(const FailureDomain &) const = default;
};

/// A service and the number of its endpoints, which are assigned to the failure domains round-robin.
struct ServiceShape
{
    std::string m_name;
    bool m_isModel = true;
    int m_endpoints = 0;
    bool m_checksFencing = true;

    bool operator==(const ServiceShape &) const = default;
};

/// A version of a model at the origin.
struct StoredVersion
{
    std::string m_model;
    std::string m_version;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_seed = 0;
    std::uint64_t m_baseSeed = 0;
    int m_changedPercent = 100; ///< Percentage of chunks that differ from the version with m_baseSeed.

    bool operator==(const StoredVersion &) const = default;
};

/// Link rates in bytes per second, with the proportions stated by the users: within the burst window the link of an instance carries about two copies of the
/// weights and the link of the origin about four.
struct LinkRates
{
    std::uint64_t m_instance = 1 << 20;
    std::uint64_t m_origin = 2 << 20;
    std::uint64_t m_entry = 16 << 20; ///< Link of an entry. Higher, since tests scale down weights and links, but not control messages.
    std::uint64_t m_regionPair = 26'000'000 / 8;
    int m_sameRegionLatencyMs = 0;
    int m_crossRegionLatencyMs = 0;

    bool operator==(const LinkRates &) const = default;
};

/// Parameters of a test fleet.
struct Topology
{
    std::vector<FailureDomain> m_failureDomains; ///< The origin and the log are in the first one.
    int m_entries = 3;
    std::vector<ServiceShape> m_services;
    std::vector<StoredVersion> m_versions;
    LinkRates m_links;
    bool m_limitsLinks = true; ///< Without limits, processes connect to each other directly instead of through the network stand-in.
    std::uint32_t m_chunkBytes = 64 << 10;
    int m_listLagMs = 1000;
    int m_logAppendsPerSecond = 400;
    int m_logRetentionRecords = 100000;
    int m_engineSlots = 2;
    int m_engineCapacity = 8;
    int m_firstTokenMs = 20;
    int m_tokenMs = 5;
    int m_loadMsPerMebibyte = 5;
    std::string m_transferStrategy = "swarm";

    bool operator==(const Topology &) const = default;
};

/// The failure domains and services of the user Sao Mai at their current size, with small weights.
Topology saoMaiTopology();
/// The failure domains and services of the user Accrochage at their current size, with small weights.
Topology accrochageTopology();
/// Two regions, three entries and a few endpoints, for scenarios.
Topology smallTopology();
/// One model service with @p endpoints endpoints in the failure domains of saoMaiTopology(), for measuring bursts of transfers of new weights.
Topology burstTopology(int endpoints);

}
