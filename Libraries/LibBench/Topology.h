/// @file Which instances a test fleet has and how they are linked.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bench {

struct FailureDomain
{
    std::string m_name;
    std::string m_region;

    bool operator==(const FailureDomain &) const = default;
};

/// A service and how many endpoint instances it has, spread over the failure domains in turn.
struct ServiceShape
{
    std::string m_name;
    bool m_isModel = true;
    int m_endpoints = 0;
    bool m_checksFencing = true;

    bool operator==(const ServiceShape &) const = default;
};

/// A version of a model at the weight store.
struct StoredVersion
{
    std::string m_model;
    std::string m_version;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_seed = 0;
    std::uint64_t m_baseSeed = 0;
    int m_changedPercent = 100; ///< Share of chunks that differ from the base.

    bool operator==(const StoredVersion &) const = default;
};

/// Link rates in bytes per second, as in the users' pages: in the burst window an instance's link carries about two copies and the origin's about four.
struct LinkRates
{
    std::uint64_t m_instance = 1 << 20;
    std::uint64_t m_origin = 2 << 20;
    std::uint64_t m_entry = 16 << 20; ///< Of entry instances. Weights and links are scaled down for tests, control messages are not, so theirs is wider.
    std::uint64_t m_regionPair = 26'000'000 / 8;
    int m_sameRegionLatencyMs = 0;
    int m_crossRegionLatencyMs = 0;

    bool operator==(const LinkRates &) const = default;
};

struct Topology
{
    std::vector<FailureDomain> m_failureDomains; ///< The origin and the log stand in the first.
    int m_entries = 3;
    std::vector<ServiceShape> m_services;
    std::vector<StoredVersion> m_versions;
    LinkRates m_links;
    bool m_limitsLinks = true; ///< Without, processes dial each other directly.
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

/// Sao Mai's places and services in their numbers of today, with small weights.
Topology saoMaiTopology();
/// Accrochage's places and services in their numbers of today, with small weights.
Topology accrochageTopology();
/// One region pair, three entries, a few endpoints: for scenarios.
Topology smallTopology();
/// One model service of @p endpoints over Sao Mai's places, for measuring bursts.
Topology burstTopology(int endpoints);

}
