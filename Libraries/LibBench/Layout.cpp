/// @file Implementation of the layout: addresses and settings files.

#include "LibBench/Layout.h"

#include <sstream>

namespace Bench {

namespace {

constexpr std::uint16_t WirePort = 7000;
constexpr std::uint16_t AdminPort = 7001;
constexpr std::uint16_t CallersPort = 7080;
constexpr std::uint16_t EndpointPort = 7100;
constexpr std::uint16_t StandInPort = 7400;
constexpr int HostsPerBlock = 250;
constexpr int SeedEntries = 3;
constexpr int TransferRatePercent = 97; ///< Transfer rate of an agent, as a percentage of its link rate. Slightly below the link rate.

/// Builds host addresses of the form 127.slot.block.n.
class HostAddresses
{
public:
    explicit HostAddresses(int slot)
        : m_slot(slot)
    {
    }

    std::string host(int block, int index) const
    {
        const int third = block + index / HostsPerBlock;
        const int fourth = 1 + index % HostsPerBlock;
        return "127." + std::to_string(m_slot) + "." + std::to_string(third) + "." + std::to_string(fourth);
    }

private:
    int m_slot;
};

constexpr int PlatformBlock = 1;
constexpr int EntryBlock = 10;
constexpr int EndpointBlock = 20;

std::string commonSettings(const Topology &topology, const Layout &layout, const ProcessSpec &spec)
{
    std::ostringstream text;
    text << "instance: {id: " << spec.m_instance << ", region: " << spec.m_region << ", failure_domain: " << spec.m_failureDomain;
    if (!spec.m_service.empty()) {
        text << ", service: " << spec.m_service;
    }
    text << "}\nlisten: {wire: \"" << spec.m_wire.toString() << "\", admin: \"" << spec.m_admin.toString() << "\"";
    if (!spec.m_callers.isEmpty()) {
        text << ", callers: \"" << spec.m_callers.toString() << "\"";
    }
    text << "}\nnetwork: {bind: " << spec.m_wire.m_host;
    if (topology.m_limitsLinks) {
        text << ", gateway: \"" << layout.m_network.toString() << "\"";
    }
    text << "}\n";
    return text.str();
}

std::string seedList(const std::vector<ProcessSpec> &entries)
{
    std::string text = "entries: [";
    for (std::size_t index = 0; index < entries.size() && index < SeedEntries; ++index) {
        text += (index == 0 ? "\"" : ", \"") + entries[index].m_wire.toString() + "\"";
    }
    return text + "]\n";
}

ProcessSpec makeLog(const Topology &topology, const Layout &layout)
{
    std::ostringstream text;
    text << "listen: \"" << layout.m_log.toString() << "\"\nappends_per_second: " << topology.m_logAppendsPerSecond
         << "\nretention_records: " << topology.m_logRetentionRecords << "\nlist_lag_ms: " << topology.m_listLagMs << "\n";
    ProcessSpec spec{ProcessKind::Log, "log", "standin-log", layout.m_log, text.str()};
    return spec;
}

ProcessSpec makeOrigin(const Topology &topology, const Layout &layout)
{
    std::ostringstream text;
    text << "listen: \"" << layout.m_origin.toString() << "\"\nchunk_bytes: " << topology.m_chunkBytes << "\nobjects:\n";
    for (const StoredVersion &version : topology.m_versions) {
        text << "  - {model: " << version.m_model << ", version: \"" << version.m_version << "\", bytes: " << version.m_bytes << ", seed: " << version.m_seed
             << ", base_seed: " << version.m_baseSeed << ", changed_percent: " << version.m_changedPercent << "}\n";
    }
    return ProcessSpec{ProcessKind::Origin, "origin", "standin-origin", layout.m_origin, text.str()};
}

ProcessSpec makeNetwork(const Topology &topology, const Layout &layout, const std::vector<ProcessSpec> &instances)
{
    const LinkRates &links = topology.m_links;
    std::ostringstream text;
    text << "listen: \"" << layout.m_network.toString() << "\"\ninstance_link_bytes_per_second: " << links.m_instance
         << "\nregion_pair_bytes_per_second: " << links.m_regionPair << "\nlatency_ms: {same_region: " << links.m_sameRegionLatencyMs
         << ", cross_region: " << links.m_crossRegionLatencyMs << "}\noverrides:\n  - {host: " << layout.m_origin.m_host << ", up: " << links.m_origin
         << ", down: " << links.m_origin << "}\n";
    for (const ProcessSpec &spec : instances) {
        if (spec.m_kind == ProcessKind::Entry) {
            text << "  - {host: " << spec.m_wire.m_host << ", up: " << links.m_entry << ", down: " << links.m_entry << "}\n";
        }
    }
    text << "hosts:\n  - {host: " << layout.m_origin.m_host << ", region: " << topology.m_failureDomains.front().m_region
         << ", failure_domain: " << topology.m_failureDomains.front().m_name << "}\n";
    for (const ProcessSpec &spec : instances) {
        text << "  - {host: " << spec.m_wire.m_host << ", region: " << spec.m_region << ", failure_domain: " << spec.m_failureDomain << "}\n";
    }
    return ProcessSpec{ProcessKind::Network, "network", "standin-network", layout.m_network, text.str()};
}

std::vector<ProcessSpec> makeEntries(const Topology &topology, const Layout &layout, const HostAddresses &hostAddresses)
{
    std::vector<ProcessSpec> entries;
    for (int index = 0; index < topology.m_entries; ++index) {
        const FailureDomain &domain = topology.m_failureDomains[static_cast<std::size_t>(index) % topology.m_failureDomains.size()];
        const std::string host = hostAddresses.host(EntryBlock, index);
        ProcessSpec spec;
        spec.m_kind = ProcessKind::Entry;
        spec.m_name = "entry-" + std::to_string(index + 1);
        spec.m_program = "oriolerail-entry";
        spec.m_instance = spec.m_name;
        spec.m_role = "entry";
        spec.m_region = domain.m_region;
        spec.m_failureDomain = domain.m_name;
        spec.m_wire = Core::Address{host, WirePort};
        spec.m_admin = Core::Address{host, AdminPort};
        spec.m_callers = Core::Address{host, CallersPort};
        spec.m_health = spec.m_admin;
        entries.push_back(spec);
    }
    for (ProcessSpec &entry : entries) {
        entry.m_settings = commonSettings(topology, layout, entry) + "platform: {log: \"" + layout.m_log.toString() + "\", instances: \""
            + layout.m_log.toString() + "\"}\n" + seedList(entries);
    }
    return entries;
}

ProcessSpec makeEndpoint(const Topology &topology, const ServiceShape &service, const std::string &instance, const std::string &host)
{
    const Core::Address listen{host, EndpointPort};
    std::ostringstream text;
    text << "listen: \"" << listen.toString() << "\"\ncapacity: " << topology.m_engineCapacity << "\n";
    if (service.m_isModel) {
        text << "checks_fencing: " << (service.m_checksFencing ? "true" : "false") << "\nslots: " << topology.m_engineSlots
             << "\nfirst_token_ms: " << topology.m_firstTokenMs << "\ntoken_ms: " << topology.m_tokenMs
             << "\nload_ms_per_mebibyte: " << topology.m_loadMsPerMebibyte << "\n";
    }
    ProcessSpec spec;
    spec.m_kind = service.m_isModel ? ProcessKind::Engine : ProcessKind::PlainService;
    spec.m_name = "endpoint:" + instance;
    spec.m_program = service.m_isModel ? "standin-engine" : "standin-service";
    spec.m_health = listen;
    spec.m_settings = text.str();
    return spec;
}

ProcessSpec makeAgent(const Topology &topology,
                      const Layout &layout,
                      const ServiceShape &service,
                      const std::string &instance,
                      const FailureDomain &domain,
                      const std::string &host,
                      const std::vector<ProcessSpec> &entries)
{
    ProcessSpec spec;
    spec.m_kind = ProcessKind::Agent;
    spec.m_name = "agent:" + instance;
    spec.m_program = "oriolerail-agent";
    spec.m_instance = instance;
    spec.m_role = "agent";
    spec.m_service = service.m_name;
    spec.m_region = domain.m_region;
    spec.m_failureDomain = domain.m_name;
    spec.m_wire = Core::Address{host, WirePort};
    spec.m_admin = Core::Address{host, AdminPort};
    spec.m_health = spec.m_admin;
    std::ostringstream text;
    text << commonSettings(topology, layout, spec) << seedList(entries) << "origin: \"" << layout.m_origin.toString()
         << "\"\norigin_region: " << topology.m_failureDomains.front().m_region << "\nengine: {address: \"" << Core::Address{host, EndpointPort}.toString()
         << "\", kind: " << (service.m_isModel ? "model" : "plain") << ", checks_fencing: " << (service.m_checksFencing ? "true" : "false")
         << "}\ntransfer: {strategy: " << topology.m_transferStrategy
         << ", upload_bytes_per_second: " << topology.m_links.m_instance * TransferRatePercent / 100
         << ", download_bytes_per_second: " << topology.m_links.m_instance * TransferRatePercent / 100 << "}\n";
    spec.m_settings = text.str();
    return spec;
}

}

Layout makeLayout(const Topology &topology, int slot)
{
    const HostAddresses hostAddresses(slot);
    Layout layout;
    layout.m_log = Core::Address{hostAddresses.host(PlatformBlock, 0), StandInPort};
    layout.m_origin = Core::Address{hostAddresses.host(PlatformBlock, 1), StandInPort};
    layout.m_network = Core::Address{hostAddresses.host(PlatformBlock, 2), StandInPort};

    const std::vector<ProcessSpec> entries = makeEntries(topology, layout, hostAddresses);
    std::vector<ProcessSpec> endpoints;
    std::vector<ProcessSpec> instances = entries;
    int index = 0;
    for (const ServiceShape &service : topology.m_services) {
        for (int number = 1; number <= service.m_endpoints; ++number, ++index) {
            const FailureDomain &domain = topology.m_failureDomains[static_cast<std::size_t>(number - 1) % topology.m_failureDomains.size()];
            const std::string instance = service.m_name + "-" + std::to_string(number);
            const std::string host = hostAddresses.host(EndpointBlock, index);
            endpoints.push_back(makeEndpoint(topology, service, instance, host));
            instances.push_back(makeAgent(topology, layout, service, instance, domain, host, entries));
        }
    }

    layout.m_processes.push_back(makeLog(topology, layout));
    layout.m_processes.push_back(makeOrigin(topology, layout));
    if (topology.m_limitsLinks) {
        layout.m_processes.push_back(makeNetwork(topology, layout, instances));
    }
    layout.m_processes.insert(layout.m_processes.end(), endpoints.begin(), endpoints.end());
    layout.m_processes.insert(layout.m_processes.end(), instances.begin(), instances.end());
    return layout;
}

}
