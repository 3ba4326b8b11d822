/// @file Generates the requests of a run from its parameters. Pure logic without clocks and sockets.
#pragma once

#include "LibCore/Random.h"
#include "LibLoad/Request.h"

#include <optional>
#include <string>
#include <vector>

namespace Load {

/// A client account and its relative share of the load.
struct AccountWeight
{
    std::string m_account;
    double m_weight = 1;

    bool operator==(const AccountWeight &) const = default;
};

/// Parameters of the requests in a run.
struct Workload
{
    std::string m_template; ///< Template of generate requests; empty disables them.
    std::string m_service; ///< Service of calls; empty disables them.
    double m_serviceShare = 0.5; ///< Fraction of calls, from 0 to 1, if both a template and a service are given.
    std::string m_path = "effects"; ///< Path of calls.
    std::vector<AccountWeight> m_accounts;
    double m_rate = 0; ///< Requests per second; 0 selects a closed loop.
    bool m_isPoisson = true; ///< Exponentially distributed inter-arrival times; otherwise equal ones.
    std::uint64_t m_count = 0; ///< Maximum number of requests; 0 means no limit.
    Core::Duration m_duration{0}; ///< Time after which no request arrives; 0 means no limit.
    std::uint32_t m_maximumTokens = 8;
    std::uint32_t m_prefixes = 0; ///< Number of distinct prompt prefixes per account; 0: prompts share no prefix.
    std::uint32_t m_promptBytes = 0; ///< Shorter prompts are padded to this length.
    std::int32_t m_priority = 0;
    bool m_isKeyed = false;
    Core::Duration m_timeout{30000};
    std::uint64_t m_seed = 1;
    std::string m_marker; ///< Unique to the run; included in each prompt.

    bool operator==(const Workload &) const = default;
};

/// Generates requests deterministically: equal workloads give equal requests. Not thread-safe.
class RequestSource
{
public:
    explicit RequestSource(Workload mix);

    /// Returns the next request, or nothing once the maximum count or duration is reached.
    std::optional<Request> next();

private:
    const AccountWeight &pickAccount();
    Core::Clock::duration nextGap();
    std::string makePrompt(const std::string &account);

    Workload m_workload;
    Core::Random m_random;
    double m_totalWeight = 0;
    std::uint64_t m_generatedCount = 0;
    Core::Clock::duration m_at{0}; ///< Arrival time of the latest request, since the start of the run.
};

}
