/// @file Implementation of the origin's objects, faults and journal.

#include "LibOriginStandIn/OriginStore.h"

#include "LibTelemetry/AdminServer.h"

#include <Poco/JSON/Parser.h>

namespace StandIn {

namespace {

constexpr std::int64_t MaximumObjectBytes = std::int64_t{1} << 32;
constexpr std::int64_t MaximumBytesPerSecond = std::int64_t{1} << 40;
constexpr std::size_t MaximumObjects = 64;
constexpr std::int64_t MaximumSeed = std::int64_t{1} << 53;
constexpr std::uint64_t Percent = 100;
constexpr int MaximumJsonDepth = 4;

ObjectRecipe readRecipe(Settings::Reader &reader)
{
    ObjectRecipe recipe;
    recipe.m_model = reader.text("model");
    recipe.m_version = reader.text("version");
    recipe.m_bytes = static_cast<std::uint64_t>(reader.integer("bytes", 1, MaximumObjectBytes));
    recipe.m_seed = static_cast<std::uint64_t>(reader.integer("seed", 0, MaximumSeed));
    recipe.m_baseSeed = static_cast<std::uint64_t>(reader.integer("base_seed", 0, MaximumSeed, 0));
    recipe.m_changedPercent = static_cast<std::uint32_t>(reader.integer("changed_percent", 0, Percent, Percent));
    return recipe;
}

}

OriginSettings readOriginSettings(Settings::Reader &reader)
{
    OriginSettings settings;
    settings.m_listen = reader.address("listen");
    settings.m_chunkBytes =
        static_cast<std::uint32_t>(reader.integer("chunk_bytes", Weights::MinimumChunkBytes, Weights::MaximumChunkBytes, settings.m_chunkBytes));
    settings.m_bytesPerSecond = static_cast<std::uint64_t>(reader.integer("bytes_per_second", 0, MaximumBytesPerSecond, 0));
    reader.list("objects", MaximumObjects, [&settings](Settings::Reader &item) { settings.m_objects.push_back(readRecipe(item)); });
    return settings;
}

OriginStore::OriginStore(OriginSettings settings)
    : m_settings(std::move(settings))
    , m_random(1)
{
}

Core::Result<void> OriginStore::generate()
{
    for (const ObjectRecipe &recipe : m_settings.m_objects) {
        m_objects[ObjectName{recipe.m_model, recipe.m_version}] = BOOST_OUTCOME_TRYX(makeObject(recipe, m_settings.m_chunkBytes));
    }
    return Core::success();
}

DataAnswer OriginStore::resolve(const std::string &model, const std::string &version)
{
    DataAnswer answer;
    answer.m_down = m_faults.m_down;
    answer.m_slowMs = m_faults.m_slowMs;
    const std::map<ObjectName, std::shared_ptr<const StoredObject>>::const_iterator found = m_objects.find(ObjectName{model, version});
    if (found == m_objects.end()) {
        return answer;
    }
    answer.m_object = found->second;
    const double copies = static_cast<double>(m_dataBytes) / static_cast<double>(answer.m_object->m_content.size());
    answer.m_down = answer.m_down || (m_faults.m_downAfterCopies > 0 && copies >= m_faults.m_downAfterCopies);
    return answer;
}

DataAnswer OriginStore::data(const std::string &model, const std::string &version)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    DataAnswer answer = resolve(model, version);
    ++m_requests;
    answer.m_truncate = m_random.below(Percent) < m_faults.m_truncatePercent;
    answer.m_corrupt = m_random.below(Percent) < m_faults.m_corruptPercent;
    return answer;
}

DataAnswer OriginStore::manifest(const std::string &model, const std::string &version)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_manifestRequests;
    return resolve(model, version);
}

Core::Duration OriginStore::recordSent(std::uint64_t bytes, Core::Instant now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_dataBytes += bytes;
    if (m_settings.m_bytesPerSecond == 0) {
        return Core::Duration(0);
    }
    const double seconds = static_cast<double>(bytes) / static_cast<double>(m_settings.m_bytesPerSecond);
    m_linkFreeAt = std::max(m_linkFreeAt, now) + std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double>(seconds));
    return std::chrono::duration_cast<Core::Duration>(m_linkFreeAt - now);
}

Core::Result<void> OriginStore::replaceObject(const Poco::JSON::Object::Ptr &swap)
{
    ObjectRecipe recipe;
    recipe.m_model = swap->getValue<std::string>("model");
    recipe.m_version = swap->getValue<std::string>("version");
    recipe.m_seed = swap->getValue<std::uint64_t>("seed");
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::map<ObjectName, std::shared_ptr<const StoredObject>>::const_iterator found = m_objects.find(ObjectName{recipe.m_model, recipe.m_version});
        if (found == m_objects.end()) {
            return Core::makeError(Core::ErrorCode::NotFound, "swap object", "", recipe.m_model + "/" + recipe.m_version);
        }
        recipe.m_bytes = found->second->m_content.size();
    }
    const std::shared_ptr<const StoredObject> object = BOOST_OUTCOME_TRYX(makeObject(recipe, m_settings.m_chunkBytes));
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_objects[ObjectName{recipe.m_model, recipe.m_version}] = object;
    return Core::success();
}

Core::Result<void> OriginStore::setFaults(const std::string &json)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaximumJsonDepth);
        const Poco::JSON::Object::Ptr object = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
        if (object->isObject("swap")) {
            BOOST_OUTCOME_TRYV(replaceObject(object->getObject("swap")));
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_faults.m_down = object->optValue("down", m_faults.m_down);
        m_faults.m_slowMs = object->optValue("slow_ms", m_faults.m_slowMs);
        m_faults.m_truncatePercent = object->optValue("truncate_percent", m_faults.m_truncatePercent);
        m_faults.m_corruptPercent = object->optValue("corrupt_percent", m_faults.m_corruptPercent);
        m_faults.m_downAfterCopies = object->optValue("down_after_copies", m_faults.m_downAfterCopies);
        return Core::success();
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "set faults", "", exception.displayText());
    }
}

std::string OriginStore::faultsJson() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
    object->set("down", m_faults.m_down);
    object->set("slow_ms", m_faults.m_slowMs);
    object->set("truncate_percent", m_faults.m_truncatePercent);
    object->set("corrupt_percent", m_faults.m_corruptPercent);
    object->set("down_after_copies", m_faults.m_downAfterCopies);
    return Telemetry::toJsonText(object);
}

std::string OriginStore::journalJson() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
    object->set("data_bytes", m_dataBytes);
    object->set("requests", m_requests);
    object->set("manifest_requests", m_manifestRequests);
    return Telemetry::toJsonText(object);
}

}
