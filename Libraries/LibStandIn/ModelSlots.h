/// @file The model slots of an engine and its checks of fencing numbers. Logic only, without threads.
#pragma once

#include "LibCore/Error.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace StandIn {

enum class ModelState {
    Loading,
    Serving,
    Draining, ///< Accepts no new request; its slot is freed when the last request has ended.
};

/// One model in a slot.
struct HeldModel
{
    std::string m_digest; ///< Digest named in the load request.
    std::string m_actualDigest; ///< SHA-256 of the received bytes; empty while loading.
    ModelState m_state = ModelState::Loading;
    std::uint64_t m_fence = 0; ///< Fencing number of the latest load or removal of this model.
    std::uint32_t m_running = 0; ///< Number of requests in the batch or the queue that use it.

    bool operator==(const HeldModel &) const = default;
};

/// Settings of ModelSlots.
struct SlotRules
{
    bool m_checksFencing = true; ///< Refuse fencing numbers below the highest seen.
    std::uint32_t m_slots = 2; ///< Maximum number of models held.

    bool operator==(const SlotRules &) const = default;
};

/**
 * The slots of one engine. Not thread-safe.
 *
 * Errors: Conflict for an old fencing number, Overloaded when no slot is free, Unavailable while the same model is loading,
 * NotFound for a model that is not held.
 */
class ModelSlots
{
public:
    explicit ModelSlots(SlotRules rules)
        : m_rules(rules)
    {
    }

    /// Reserves a slot. Returns true if the model must be loaded, false if it is held already: then only its fencing number is updated
    /// and it serves again if it was draining.
    Core::Result<bool> beginLoad(const std::string &digest, std::uint64_t fence);
    /// Marks the model as serving after all its bytes have been received.
    void finishLoad(const std::string &digest, const std::string &actualDigest);
    /// Frees the slot of a model whose load failed.
    void abandonLoad(const std::string &digest);

    /// Drains the model, or frees its slot at once if no request uses it.
    Core::Result<void> remove(const std::string &digest, std::uint64_t fence);

    /// Counts a request that uses the model. Returns the digest of the bytes held.
    Core::Result<std::string> acquire(const std::string &digest);
    /// Ends a use of the model. Frees the slot of a draining model after its last use.
    void release(const std::string &digest);

    /// Removes all models and resets the highest fencing number, as a restart does.
    void clear();

    std::vector<HeldModel> models() const;
    std::uint64_t highestFence() const
    {
        return m_highestFence;
    }

private:
    Core::Result<void> checkFence(std::uint64_t fence);

    SlotRules m_rules;
    std::map<std::string, HeldModel> m_models; ///< By m_digest; at most m_rules.m_slots entries.
    std::uint64_t m_highestFence = 0; ///< Never decreases, except by clear().
};

}
