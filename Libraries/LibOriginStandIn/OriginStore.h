/// @file State of the origin stand-in: objects, faults and the journal.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Random.h"
#include "LibOriginStandIn/StoredObject.h"
#include "LibSettings/Reader.h"

#include <Poco/JSON/Object.h>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace StandIn {

/// Settings of standin-origin.
struct OriginSettings
{
    Core::Address m_listen;
    std::uint32_t m_chunkBytes = 64 << 10; ///< Chunk size in the manifests.
    std::uint64_t m_bytesPerSecond = 0; ///< Rate limit over all data requests together; 0 means no limit.
    std::vector<ObjectRecipe> m_objects;
};

OriginSettings readOriginSettings(Settings::Reader &reader);

/// Fault switches of the origin, see docs/STANDINS.md.
struct OriginFaults
{
    bool m_down = false; ///< Manifest and data requests are answered with 503.
    std::int64_t m_slowMs = 0; ///< Added to each manifest and data request.
    std::uint32_t m_truncatePercent = 0; ///< Percentage of data answers that end after half of their bytes.
    std::uint32_t m_corruptPercent = 0; ///< Percentage of data answers with a changed bit.
    double m_downAfterCopies = 0; ///< The origin is down once it has sent this many times the bytes of the object; 0 means never.

    bool operator==(const OriginFaults &) const = default;
};

/// The object for a request and the faults to apply to the answer.
struct DataAnswer
{
    std::shared_ptr<const StoredObject> m_object; ///< Null if the object does not exist.
    bool m_down = false;
    std::int64_t m_slowMs = 0;
    bool m_truncate = false;
    bool m_corrupt = false;
};

/// Objects, faults and counters of the origin. Thread-safe.
class OriginStore
{
public:
    explicit OriginStore(OriginSettings settings);

    /// Generates all objects of the settings.
    Core::Result<void> generate();

    /// Counts a data request and returns how to answer it.
    DataAnswer data(const std::string &model, const std::string &version);
    /// Counts a manifest request and returns how to answer it.
    DataAnswer manifest(const std::string &model, const std::string &version);
    /// Counts sent data bytes and returns how long to wait so that the rate limit is kept.
    Core::Duration recordSent(std::uint64_t bytes, Core::Instant now);

    /// Applies a JSON object of fault switches. Switches that are missing in it stay as they are. Fails with InvalidInput, or with NotFound
    /// if "swap" names an unknown object.
    Core::Result<void> setFaults(const std::string &json);
    /// Returns the fault switches as JSON.
    std::string faultsJson() const;
    /// Returns the counters as JSON.
    std::string journalJson() const;

    const OriginSettings &settings() const
    {
        return m_settings;
    }

private:
    /// Looks up the object and checks whether the origin is down. Called with m_mutex held.
    DataAnswer resolve(const std::string &model, const std::string &version);
    /// Replaces the content of a version by one of the same size from another seed.
    Core::Result<void> replaceObject(const Poco::JSON::Object::Ptr &swap);

    struct ObjectName
    {
        std::string m_model;
        std::string m_version;

        auto operator<=>(const ObjectName &) const = default;
    };

    const OriginSettings m_settings;
    mutable std::mutex m_mutex;
    std::map<ObjectName, std::shared_ptr<const StoredObject>> m_objects;
    OriginFaults m_faults;
    Core::Random m_random;
    std::uint64_t m_dataBytes = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_manifestRequests = 0;
    Core::Instant m_linkFreeAt; ///< When all bytes recorded so far have been sent at the limited rate.
};

}
