/// @file The entries that one caller may use: decision logic without clocks and sockets.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Random.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Load {

/// The answer of GET /v1/addresses.
struct AddressAnswer
{
    std::vector<Core::Address> m_addresses;
    Core::Duration m_lifetime{0};
    std::string m_keyEpoch;

    bool operator==(const AddressAnswer &) const = default;
};

/// Reads the answer; fails with Corrupt.
Core::Result<AddressAnswer> parseAddressAnswer(const std::string &body, const std::string &peer);

/// Keeps addresses for their lifetime, as callers do. Not thread-safe.
class EntryAddressCache
{
public:
    /// An address that failed is left out for so long, unless all have failed.
    static constexpr Core::Duration FailureBackoff{1000};

    explicit EntryAddressCache(std::vector<Core::Address> seeds)
        : m_seeds(std::move(seeds))
    {
    }

    /// True if addresses must be asked for before the next request.
    bool needsRefresh(Core::Instant now) const;
    /// Whom to ask for addresses: known entries first, then seeds, each in random order.
    std::vector<Core::Address> refreshCandidates(Core::Random &random) const;
    void update(const AddressAnswer &answer, Core::Instant now);

    /// One of the addresses; empty if none is known.
    std::optional<Core::Address> pick(Core::Random &random, Core::Instant now) const;
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
