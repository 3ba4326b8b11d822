/// @file Implementation of the journal checks.

#include "LibScenario/Journals.h"

#include <Poco/JSON/Array.h>
#include <map>
#include <set>

namespace Scenario {

namespace {

Core::Error makeViolation(const std::string &detail)
{
    return Core::makeError(Core::ErrorCode::Internal, "judge journals", "", detail);
}

std::set<std::string> digestsOf(const StoredDigests &stored)
{
    std::set<std::string> digests;
    for (const std::pair<const std::string, std::string> &entry : stored.m_byVersion) {
        digests.insert(entry.second);
    }
    return digests;
}

/// Returns the objects of a list in the journal of a process; none if it does not answer, since a killed process has lost its journal.
std::vector<Poco::JSON::Object::Ptr> journalEntries(const Bench::Fleet &fleet, const std::string &process, const std::string &list)
{
    std::vector<Poco::JSON::Object::Ptr> items;
    const Core::Result<Poco::JSON::Object::Ptr> journal = fleet.page(process, "/journal");
    const Poco::JSON::Array::Ptr array = journal ? journal.value()->getArray(list) : Poco::JSON::Array::Ptr();
    for (std::size_t index = 0; array && index < array->size(); ++index) {
        items.push_back(array->getObject(static_cast<unsigned>(index)));
    }
    return items;
}

Core::Result<void> checkEngineJournals(const Bench::Fleet &fleet, const std::set<std::string> &storedDigests)
{
    for (const Bench::ProcessSpec *engine : fleet.ofKind(Bench::ProcessKind::Engine)) {
        for (const Poco::JSON::Object::Ptr &run : journalEntries(fleet, engine->m_name, "ran")) {
            const std::string digest = run->optValue<std::string>("digest", "");
            if (!storedDigests.contains(digest)) {
                return makeViolation(engine->m_name + " ran request " + run->optValue<std::string>("request", "?")
                                     + " on weights that no version has: " + digest);
            }
        }
    }
    return Core::success();
}

Core::Result<void> checkServiceJournals(const Bench::Fleet &fleet)
{
    std::map<std::string, std::string> firstServiceByKey;
    for (const Bench::ProcessSpec *service : fleet.ofKind(Bench::ProcessKind::PlainService)) {
        for (const Poco::JSON::Object::Ptr &effect : journalEntries(fleet, service->m_name, "effects")) {
            const std::string key = effect->optValue<std::string>("key", "");
            if (key.empty()) {
                continue;
            }
            const std::pair<std::map<std::string, std::string>::iterator, bool> added = firstServiceByKey.emplace(key, service->m_name);
            if (!added.second) {
                return makeViolation("key " + key + " had an effect at " + added.first->second + " and again at " + service->m_name);
            }
        }
    }
    return Core::success();
}

}

Core::Result<void> checkJournals(const Bench::Fleet &fleet, const StoredDigests &stored)
{
    BOOST_OUTCOME_TRYV(checkEngineJournals(fleet, digestsOf(stored)));
    return checkServiceJournals(fleet);
}

}
