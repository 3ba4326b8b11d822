/// @file Implementation of the entry address cache.

#include "LibLoad/EntryAddressCache.h"

#include "LibJson/Json.h"

#include <Poco/JSON/Array.h>

namespace Load {

namespace {

constexpr std::size_t MaximumAddresses = 1024;

void shuffle(std::vector<Core::Address> &addresses, Core::Random &random)
{
    for (std::size_t remaining = addresses.size(); remaining > 1; --remaining) {
        std::swap(addresses[remaining - 1], addresses[random.below(remaining)]);
    }
}

}

Core::Result<AddressAnswer> parseAddressAnswer(const std::string &body, const std::string &peer)
{
    const Core::Error malformed = Core::makeError(Core::ErrorCode::Corrupt, "read addresses", peer, "not an answer to /v1/addresses");
    const Core::Result<Poco::JSON::Object::Ptr> object = Json::parseObject(body);
    if (!object) {
        return malformed;
    }
    const Poco::JSON::Array::Ptr list = object.value()->getArray("addresses");
    const Core::Result<double> lifetime = Json::numberOf(*object.value(), "lifetime_ms");
    if (!list || list->size() > MaximumAddresses || !lifetime || !(lifetime.value() >= 0)) {
        return malformed;
    }
    AddressAnswer answer;
    for (const Poco::Dynamic::Var &item : *list) {
        answer.m_addresses.push_back(BOOST_OUTCOME_TRYX(Core::parseAddress(item.convert<std::string>())));
    }
    constexpr double maximumLifetimeMs = 86400000;
    answer.m_lifetime = Core::Duration(static_cast<std::int64_t>(std::min(lifetime.value(), maximumLifetimeMs)));
    answer.m_keyEpoch = object.value()->optValue("key_epoch", std::string());
    return answer;
}

bool EntryAddressCache::needsRefresh(Core::Instant now) const
{
    if (m_answer.m_addresses.empty() || now >= m_expiresAt) {
        return true;
    }
    for (const Core::Address &address : m_answer.m_addresses) {
        const std::map<Core::Address, Core::Instant>::const_iterator failed = m_failedUntil.find(address);
        if (failed == m_failedUntil.end() || failed->second <= now) {
            return false;
        }
    }
    return true;
}

std::vector<Core::Address> EntryAddressCache::refreshCandidates(Core::Random &random) const
{
    std::vector<Core::Address> candidates = m_answer.m_addresses;
    std::vector<Core::Address> seeds = m_seeds;
    shuffle(candidates, random);
    shuffle(seeds, random);
    for (const Core::Address &seed : seeds) {
        if (std::find(candidates.begin(), candidates.end(), seed) == candidates.end()) {
            candidates.push_back(seed);
        }
    }
    return candidates;
}

void EntryAddressCache::update(const AddressAnswer &answer, Core::Instant now)
{
    m_answer = answer;
    m_expiresAt = now + answer.m_lifetime;
    for (std::map<Core::Address, Core::Instant>::iterator it = m_failedUntil.begin(); it != m_failedUntil.end();) {
        it = it->second <= now ? m_failedUntil.erase(it) : std::next(it);
    }
}

std::optional<Core::Address> EntryAddressCache::pick(Core::Random &random, Core::Instant now) const
{
    std::vector<Core::Address> usable;
    for (const Core::Address &address : m_answer.m_addresses) {
        const std::map<Core::Address, Core::Instant>::const_iterator failed = m_failedUntil.find(address);
        if (failed == m_failedUntil.end() || failed->second <= now) {
            usable.push_back(address);
        }
    }
    const std::vector<Core::Address> &candidates = usable.empty() ? m_answer.m_addresses : usable;
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[random.below(candidates.size())];
}

void EntryAddressCache::recordFailure(const Core::Address &address, Core::Instant now)
{
    m_failedUntil[address] = now + FailureBackoff;
}

}
