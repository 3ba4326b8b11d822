/// @file Shares links among flows: decision logic without sockets.
#pragma once

#include "LibStandInNetwork/TokenBucket.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace StandIn {

using FlowId = std::uint64_t;
using LinkId = std::uint32_t;

/// A flow may pass so many bytes now.
struct Grant
{
    FlowId m_flow = 0;
    std::size_t m_bytes = 0;

    bool operator==(const Grant &) const = default;
};

/**
 * Each flow passes its links one after the other, a quantum at a time, as a packet passes a chain of queues.
 *
 * At each link flows take turns, so that bulk flows share it evenly; a quantum of a flow with a short backlog goes before
 * those of the bulk flows, so that a request or a heartbeat does not wait behind a transfer. A flow keeps what it has
 * passed already: it never starts over at its first link, and so cannot starve between two busy ones. Not thread-safe.
 */
class LinkShaper
{
public:
    static constexpr std::size_t QuantumBytes = 16384;
    static constexpr std::size_t ShortBacklogBytes = 4096;
    /// Tokens that an idle link saves up, as time at its rate.
    static constexpr double BurstSeconds = 0.01;

    LinkId addLink(double bytesPerSecond, Core::Instant now);
    void addFlow(FlowId flow, std::vector<LinkId> path);
    void removeFlow(FlowId flow);

    /// More bytes of the flow wait; appends what may pass at once.
    void addBacklog(FlowId flow, std::size_t bytes, Core::Instant now, std::vector<Grant> &grants);
    /// Appends what may pass by now.
    void advance(Core::Instant now, std::vector<Grant> &grants);
    /// When advance() will have something to do; empty if nothing waits.
    std::optional<Core::Instant> nextWake() const;

private:
    struct Flow
    {
        std::vector<LinkId> m_path;
        std::size_t m_backlog = 0; ///< Bytes not granted yet, those of the quantum included.
        std::size_t m_quantum = 0; ///< Bytes on their way through m_path; 0 if none.
        std::size_t m_stage = 0; ///< Links of m_path that the quantum has passed.
        bool m_isShort = false; ///< The backlog was short when the quantum was formed.
    };

    struct Link
    {
        TokenBucket m_bucket;
        std::deque<FlowId> m_short;
        std::deque<FlowId> m_bulk;
        bool m_isScheduled = false; ///< m_wakes holds an entry for it.
    };

    struct Wake
    {
        Core::Instant m_time;
        LinkId m_link = 0;

        bool operator>(const Wake &other) const
        {
            return m_time > other.m_time;
        }
    };

    /// Passes as many links and quanta as tokens allow, then waits at the link that has none.
    void advanceFlow(FlowId id, Flow &flow, Core::Instant now, std::vector<Grant> &grants);
    static bool canPass(Link &link, bool isShort, Core::Instant now);
    void enqueue(LinkId link, FlowId id, bool isShort);
    /// Next flow of the link's queues that still exists.
    std::optional<FlowId> popWaiting(Link &link);

    std::vector<Link> m_links;
    std::unordered_map<FlowId, Flow> m_flows;
    std::priority_queue<Wake, std::vector<Wake>, std::greater<>> m_wakes;
};

}
