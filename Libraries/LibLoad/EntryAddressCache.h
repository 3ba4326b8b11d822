/// @file Cache of the entry addresses known to a caller. Pure logic without clocks and sockets.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Random.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Load {

/// The answer to GET /v1/addresses.
struct AddressAnswer
{
    std::vector<Core::Address> m_addresses;
    Core::Duration m_lifetime{0};
    std::string m_keyEpoch;

    bool operator==(const AddressAnswer &) const = default;
};

/// Parses the body of an answer from @p peer. Fails with Corrupt, or with InvalidInput for a malformed address.
Core::Result<AddressAnswer> parseAddressAnswer(const std::string &body, const std::string &peer);

/// Caches entry addresses for the lifetime given by the entry that sent them. Not thread-safe.
class EntryAddressCache
{
public:
    /// An address that failed is not picked for this time, unless all addresses have failed.
    static constexpr Core::Duration FailureBackoff{1000};

    explicit EntryAddressCache(std::vector<Core::Address> seeds)
        : m_seeds(std::move(seeds))
    {
    }

    /// Returns true if the addresses must be refreshed before the next request: they have expired, there are none, or all of them failed recently.
    bool needsRefresh(Core::Instant now) const;
    /// Returns the entries to ask for addresses: the cached ones first, then the seeds, each group in random order.
    std::vector<Core::Address> refreshCandidates(Core::Random &random) const;
    /// Replaces the addresses and discards expired failures.
    void update(const AddressAnswer &answer, Core::Instant now);

    /// Returns a random usable address, or nothing if none is known.
    std::optional<Core::Address> pick(Core::Random &random, Core::Instant now) const;
    /// Excludes the address from picks for FailureBackoff.
    void recordFailure(const Core::Address &address, Core::Instant now);

    const std::string &keyEpoch() const
    {
        return m_answer.m_keyEpoch;
    }

private:
    std::vector<Core::Address> m_seeds;
    AddressAnswer m_answer;
    Core::Instant m_expiresAt{};
    std::map<Core::Address, Core::Instant> m_failedUntil;
};

}
