/// @file Shares the rates of links among flows. Logic only, without sockets.
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

/// Permission for a flow to send a number of bytes.
struct Grant
{
    FlowId m_flow = 0;
    std::size_t m_bytes = 0;

    bool operator==(const Grant &) const = default;
};

/**
 * A flow sends one quantum at a time, which passes the links of its path one after the other like a packet in a chain of queues.
 *
 * Each link serves its flows round-robin, so that bulk flows share it evenly. A quantum of a flow with a short backlog goes before
 * the quanta of bulk flows, so that a request or a heartbeat does not wait behind a transfer. A quantum that waits at a link does not
 * have to pass the earlier links of its path again. If it started over at the first link, a flow over two busy links would starve. Not thread-safe.
 */
class LinkShaper
{
public:
    /// Maximum number of bytes that a flow sends at a time.
    static constexpr std::size_t QuantumBytes = 16384;
    /// A flow with at most this backlog is short, and goes before bulk flows.
    static constexpr std::size_t ShortBacklogBytes = 4096;
    /// Maximum burst of a link that was idle, in seconds at its rate; at least one quantum.
    static constexpr double BurstSeconds = 0.01;

    LinkId addLink(double bytesPerSecond, Core::Instant now);
    /// @param path links in the order in which bytes pass them.
    void addFlow(FlowId flow, std::vector<LinkId> path);
    void removeFlow(FlowId flow);

    /// Adds waiting bytes to a flow. Appends to @p grants the bytes that may be sent at once.
    void addBacklog(FlowId flow, std::size_t bytes, Core::Instant now, std::vector<Grant> &grants);
    /// Appends to @p grants the bytes that may be sent at @p now.
    void advance(Core::Instant now, std::vector<Grant> &grants);
    /// Returns the time of the next call of advance() that can grant bytes; empty if nothing waits.
    std::optional<Core::Instant> nextWake() const;

private:
    struct Flow
    {
        std::vector<LinkId> m_path;
        std::size_t m_backlog = 0; ///< Bytes not granted yet, including the quantum.
        std::size_t m_quantum = 0; ///< Size of the quantum that is passing m_path; 0 if none.
        std::size_t m_stage = 0; ///< Number of links of m_path that the quantum has passed.
        bool m_isShort = false; ///< The backlog was short when the quantum was formed.
    };

    struct Link
    {
        TokenBucket m_bucket;
        std::deque<FlowId> m_short; ///< Waiting flows with a short backlog.
        std::deque<FlowId> m_bulk; ///< Other waiting flows.
        bool m_isScheduled = false; ///< m_wakes has an entry for this link.
    };

    /// Time at which a link with waiting flows has tokens again.
    struct Wake
    {
        Core::Instant m_time;
        LinkId m_link = 0;

        bool operator>(const Wake &other) const
        {
            return m_time > other.m_time;
        }
    };

    /// Moves quanta of the flow through its links while there are tokens, then queues the flow at the link without tokens.
    void advanceFlow(FlowId id, Flow &flow, Core::Instant now, std::vector<Grant> &grants);
    /// Returns true if the link has tokens and no other flow goes first.
    static bool canPass(Link &link, bool isShort, Core::Instant now);
    /// Queues a flow at a link and schedules the link's wake-up.
    void enqueue(LinkId link, FlowId id, bool isShort);
    /// Removes the next flow from the link's queues and returns it. Skips flows that have been removed.
    std::optional<FlowId> popWaiting(Link &link);

    std::vector<Link> m_links;
    std::unordered_map<FlowId, Flow> m_flows;
    std::priority_queue<Wake, std::vector<Wake>, std::greater<>> m_wakes;
};

}
