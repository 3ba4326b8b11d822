/// @file Implementation of the link shaper.

#include "LibStandInNetwork/LinkShaper.h"

namespace StandIn {

LinkId LinkShaper::addLink(double bytesPerSecond, Core::Instant now)
{
    const double burst = std::max(static_cast<double>(QuantumBytes), bytesPerSecond * BurstSeconds);
    m_links.push_back(Link{TokenBucket(bytesPerSecond, burst, now), {}, {}, false});
    return static_cast<LinkId>(m_links.size() - 1);
}

void LinkShaper::addFlow(FlowId flow, std::vector<LinkId> path)
{
    m_flows[flow].m_path = std::move(path);
}

void LinkShaper::removeFlow(FlowId flow)
{
    m_flows.erase(flow);
}

void LinkShaper::addBacklog(FlowId flow, std::size_t bytes, Core::Instant now, std::vector<Grant> &grants)
{
    const std::unordered_map<FlowId, Flow>::iterator found = m_flows.find(flow);
    if (found == m_flows.end()) {
        return;
    }
    found->second.m_backlog += bytes;
    if (found->second.m_quantum == 0) {
        advanceFlow(flow, found->second, now, grants);
    }
}

void LinkShaper::advanceFlow(FlowId id, Flow &flow, Core::Instant now, std::vector<Grant> &grants)
{
    while (flow.m_backlog > 0) {
        if (flow.m_quantum == 0) {
            flow.m_quantum = std::min(flow.m_backlog, QuantumBytes);
            flow.m_isShort = flow.m_backlog <= ShortBacklogBytes;
            flow.m_stage = 0;
        }
        while (flow.m_stage < flow.m_path.size()) {
            const LinkId next = flow.m_path[flow.m_stage];
            Link &link = m_links[next];
            if (!canPass(link, flow.m_isShort, now)) {
                enqueue(next, id, flow.m_isShort);
                return;
            }
            link.m_bucket.take(static_cast<double>(flow.m_quantum));
            ++flow.m_stage;
        }
        grants.push_back(Grant{id, flow.m_quantum});
        flow.m_backlog -= flow.m_quantum;
        flow.m_quantum = 0;
    }
}

bool LinkShaper::canPass(Link &link, bool isShort, Core::Instant now)
{
    const bool hasEarlierFlows = !link.m_short.empty() || (!isShort && !link.m_bulk.empty());
    return !hasEarlierFlows && link.m_bucket.hasTokens(now);
}

void LinkShaper::enqueue(LinkId link, FlowId id, bool isShort)
{
    Link &target = m_links[link];
    (isShort ? target.m_short : target.m_bulk).push_back(id);
    if (!target.m_isScheduled) {
        target.m_isScheduled = true;
        m_wakes.push(Wake{target.m_bucket.availableAt(), link});
    }
}

std::optional<FlowId> LinkShaper::popWaiting(Link &link)
{
    while (!link.m_short.empty() || !link.m_bulk.empty()) {
        std::deque<FlowId> &queue = link.m_short.empty() ? link.m_bulk : link.m_short;
        const FlowId id = queue.front();
        queue.pop_front();
        if (m_flows.contains(id)) {
            return id;
        }
    }
    return std::nullopt;
}

void LinkShaper::advance(Core::Instant now, std::vector<Grant> &grants)
{
    while (!m_wakes.empty() && m_wakes.top().m_time <= now) {
        const LinkId id = m_wakes.top().m_link;
        m_wakes.pop();
        while (m_links[id].m_bucket.hasTokens(now)) {
            const std::optional<FlowId> waiting = popWaiting(m_links[id]);
            if (!waiting) {
                break;
            }
            Flow &flow = m_flows[*waiting];
            m_links[id].m_bucket.take(static_cast<double>(flow.m_quantum));
            ++flow.m_stage;
            advanceFlow(*waiting, flow, now, grants);
        }
        Link &link = m_links[id];
        link.m_isScheduled = !link.m_short.empty() || !link.m_bulk.empty();
        if (link.m_isScheduled) {
            m_wakes.push(Wake{link.m_bucket.availableAt(), id});
        }
    }
}

std::optional<Core::Instant> LinkShaper::nextWake() const
{
    if (m_wakes.empty()) {
        return std::nullopt;
    }
    return m_wakes.top().m_time;
}

}
