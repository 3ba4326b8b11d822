/// @file Makes the requests of a run from its parameters: decision logic without clocks and sockets.
#pragma once

#include "LibCore/Random.h"
#include "LibLoad/Request.h"

#include <optional>
#include <string>
#include <vector>

namespace Load {

/// A client account and its share of the load.
struct AccountWeight
{
    std::string m_account;
    double m_weight = 1;

    bool operator==(const AccountWeight &) const = default;
};

/// What a run consists of.
struct Workload
{
    std::string m_template; ///< Empty: no generations.
    std::string m_service; ///< Empty: no calls.
    double m_serviceShare = 0.5; ///< Share of calls, if both are given.
    std::string m_path = "effects"; ///< Path of calls.
    std::vector<AccountWeight> m_accounts;
    double m_rate = 0; ///< Requests a second; 0 is a closed loop.
    bool m_isPoisson = true; ///< Exponential gaps, else equal ones.
    std::uint64_t m_count = 0; ///< Requests at most; 0 is no limit.
    Core::Duration m_duration{0}; ///< Arrivals at most so long; 0 is no limit.
    std::uint32_t m_maximumTokens = 8;
    std::uint32_t m_prefixes = 0; ///< Different prompt prefixes of each account; 0: every prompt starts anew.
    std::uint32_t m_promptBytes = 0; ///< Prompts are filled up to this length.
    std::int32_t m_priority = 0;
    bool m_isKeyed = false;
    Core::Duration m_timeout{30000};
    std::uint64_t m_seed = 1;
    std::string m_marker; ///< Unique to the run; part of each prompt.

    bool operator==(const Workload &) const = default;
};

/// The same mix gives the same requests. Not thread-safe.
class RequestSource
{
public:
    explicit RequestSource(Workload mix);

    /// Empty once the count or the length is reached.
    std::optional<Request> next();

private:
    const AccountWeight &pickAccount();
    Core::Clock::duration nextGap();
    std::string makePrompt(const std::string &account);

    Workload m_workload;
    Core::Random m_random;
    double m_totalWeight = 0;
    std::uint64_t m_generatedCount = 0;
    Core::Clock::duration m_at{0}; ///< Arrival of the latest request.
};

}
