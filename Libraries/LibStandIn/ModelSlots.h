/// @file Which models an engine holds, and which orders it accepts: decision logic without threads.
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
    Draining, ///< Takes no new request; its slot is freed when the last one has ended.
};

/// One model in a slot.
struct HeldModel
{
    std::string m_digest; ///< Name under which it was ordered.
    std::string m_actualDigest; ///< SHA-256 of the bytes that were received; empty while loading.
    ModelState m_state = ModelState::Loading;
    std::uint64_t m_fence = 0; ///< Fencing number of the latest order for it.
    std::uint32_t m_running = 0; ///< Requests in the batch or the queue that use it.

    bool operator==(const HeldModel &) const = default;
};

struct SlotRules
{
    bool m_checksFencing = true;
    std::uint32_t m_slots = 2;

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

    /// True if the model must be loaded; false if it is serving already, in which case only its fencing number is raised.
    Core::Result<bool> beginLoad(const std::string &digest, std::uint64_t fence);
    /// The bytes have arrived whole; the model serves from now on.
    void finishLoad(const std::string &digest, const std::string &actualDigest);
    /// The bytes did not arrive; the slot is free again.
    void abandonLoad(const std::string &digest);

    Core::Result<void> remove(const std::string &digest, std::uint64_t fence);

    /// A request starts to use the model. Returns the digest of the bytes truly held.
    Core::Result<std::string> acquire(const std::string &digest);
    void release(const std::string &digest);

    /// Forgets every model and the highest fencing number, as a restart does.
    void clear();

    std::vector<HeldModel> models() const;
    std::uint64_t highestFence() const
    {
        return m_highestFence;
    }

private:
    Core::Result<void> checkFence(std::uint64_t fence);

    SlotRules m_rules;
    std::map<std::string, HeldModel> m_models; ///< By m_digest; never more than m_rules.m_slots.
    std::uint64_t m_highestFence = 0; ///< Never falls, except by clear.
};

}
