/// @file State of the stand-in for the origin: objects, faults and the journal.
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

struct OriginSettings
{
    Core::Address m_listen;
    std::uint32_t m_chunkBytes = 64 << 10;
    std::uint64_t m_bytesPerSecond = 0; ///< Rate over all requests together; 0 means no limit.
    std::vector<ObjectRecipe> m_objects;
};

OriginSettings readOriginSettings(Settings::Reader &reader);

/// Fault switches; see docs/STANDINS.md.
struct OriginFaults
{
    bool m_down = false;
    std::int64_t m_slowMs = 0;
    std::uint32_t m_truncatePercent = 0;
    std::uint32_t m_corruptPercent = 0;
    double m_downAfterCopies = 0; ///< 0 means never.

    bool operator==(const OriginFaults &) const = default;
};

/// What is to happen to one data request.
struct DataAnswer
{
    std::shared_ptr<const StoredObject> m_object; ///< Null if there is none.
    bool m_down = false;
    std::int64_t m_slowMs = 0;
    bool m_truncate = false;
    bool m_corrupt = false;
};

/// Thread-safe.
class OriginStore
{
public:
    explicit OriginStore(OriginSettings settings);

    /// Makes up every object.
    Core::Result<void> generate();

    /// Decides a data request and counts it.
    DataAnswer data(const std::string &model, const std::string &version);
    /// The same for a manifest.
    DataAnswer manifest(const std::string &model, const std::string &version);
    /// Books bytes that were sent, and says how long to wait so that the rate holds.
    Core::Duration recordSent(std::uint64_t bytes, Core::Instant now);

    /// Applies a JSON object of fault switches; those that it does not name stay.
    Core::Result<void> setFaults(const std::string &json);
    std::string faultsJson() const;
    std::string journalJson() const;

    const OriginSettings &settings() const
    {
        return m_settings;
    }

private:
    DataAnswer resolve(const std::string &model, const std::string &version);
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
    Core::Instant m_linkFreeAt; ///< When everything booked so far has left the link.
};

}
