/// @file Implementation of the request source.

#include "LibLoad/RequestSource.h"

#include <cmath>

namespace Load {

namespace {

constexpr std::size_t PrefixBytes = 96; ///< Longer than the prefix that an engine compares for its prefix cache.

std::string prefixText(const std::string &account, std::uint64_t number)
{
    std::string text = "Draft " + std::to_string(number) + " for " + account + ": ";
    while (text.size() < PrefixBytes) {
        text += "seasonal trends in frames and fabrics, ";
    }
    return text.substr(0, PrefixBytes);
}

}

RequestSource::RequestSource(Workload mix)
    : m_workload(std::move(mix))
    , m_random(m_workload.m_seed)
{
    for (const AccountWeight &account : m_workload.m_accounts) {
        m_totalWeight += account.m_weight;
    }
}

std::optional<Request> RequestSource::next()
{
    if (m_workload.m_count > 0 && m_generatedCount >= m_workload.m_count) {
        return std::nullopt;
    }
    if (m_workload.m_rate > 0 && m_generatedCount > 0) {
        m_at += nextGap();
    }
    if (m_workload.m_duration.count() > 0 && m_at > m_workload.m_duration) {
        return std::nullopt;
    }
    Request request;
    request.m_index = m_generatedCount;
    request.m_at = std::chrono::duration_cast<Core::Duration>(m_at);
    request.m_account = pickAccount().m_account;
    const bool hasBoth = !m_workload.m_template.empty() && !m_workload.m_service.empty();
    const bool isCall = hasBoth ? m_random.unit() < m_workload.m_serviceShare : m_workload.m_template.empty();
    request.m_kind = isCall ? RequestKind::Call : RequestKind::Generate;
    request.m_name = isCall ? m_workload.m_service : m_workload.m_template;
    request.m_path = isCall ? m_workload.m_path : "";
    request.m_isKeyed = isCall && m_workload.m_isKeyed;
    request.m_prompt = makePrompt(request.m_account);
    request.m_maximumTokens = isCall ? 0 : m_workload.m_maximumTokens;
    request.m_priority = m_workload.m_priority;
    request.m_timeout = m_workload.m_timeout;
    ++m_generatedCount;
    return request;
}

const AccountWeight &RequestSource::pickAccount()
{
    double point = m_random.unit() * m_totalWeight;
    for (const AccountWeight &account : m_workload.m_accounts) {
        point -= account.m_weight;
        if (point < 0) {
            return account;
        }
    }
    return m_workload.m_accounts.back();
}

Core::Clock::duration RequestSource::nextGap()
{
    const double meanSeconds = 1 / m_workload.m_rate;
    const double seconds = m_workload.m_isPoisson ? -std::log1p(-m_random.unit()) * meanSeconds : meanSeconds;
    return std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double>(seconds));
}

std::string RequestSource::makePrompt(const std::string &account)
{
    std::string prompt;
    if (m_workload.m_prefixes > 0) {
        prompt = prefixText(account, m_random.below(m_workload.m_prefixes));
    }
    prompt += m_workload.m_marker + "-" + std::to_string(m_generatedCount);
    if (prompt.size() < m_workload.m_promptBytes) {
        prompt.append(m_workload.m_promptBytes - prompt.size(), '.');
    }
    return prompt;
}

}
