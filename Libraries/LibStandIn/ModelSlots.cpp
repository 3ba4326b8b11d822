/// @file Implementation of the model slots.

#include "LibStandIn/ModelSlots.h"

namespace StandIn {

Core::Result<void> ModelSlots::checkFence(std::uint64_t fence)
{
    if (m_rules.m_checksFencing && fence < m_highestFence) {
        return Core::makeError(
            Core::ErrorCode::Conflict, "check fencing number", "", std::to_string(fence) + " is older than " + std::to_string(m_highestFence));
    }
    m_highestFence = std::max(m_highestFence, fence);
    return Core::success();
}

Core::Result<bool> ModelSlots::beginLoad(const std::string &digest, std::uint64_t fence)
{
    BOOST_OUTCOME_TRYV(checkFence(fence));
    const std::map<std::string, HeldModel>::iterator found = m_models.find(digest);
    if (found != m_models.end() && found->second.m_state == ModelState::Loading) {
        return Core::makeError(Core::ErrorCode::Unavailable, "load model", "", "the same model is being loaded");
    }
    if (found != m_models.end()) {
        found->second.m_state = ModelState::Serving;
        found->second.m_fence = fence;
        return false;
    }
    if (m_models.size() >= m_rules.m_slots) {
        return Core::makeError(Core::ErrorCode::Overloaded, "load model", "", "no slot is free");
    }
    m_models[digest] = HeldModel{digest, "", ModelState::Loading, fence, 0};
    return true;
}

void ModelSlots::finishLoad(const std::string &digest, const std::string &actualDigest)
{
    const std::map<std::string, HeldModel>::iterator found = m_models.find(digest);
    if (found == m_models.end() || found->second.m_state != ModelState::Loading) {
        return;
    }
    found->second.m_actualDigest = actualDigest;
    found->second.m_state = ModelState::Serving;
}

void ModelSlots::abandonLoad(const std::string &digest)
{
    const std::map<std::string, HeldModel>::iterator found = m_models.find(digest);
    if (found != m_models.end() && found->second.m_state == ModelState::Loading) {
        m_models.erase(found);
    }
}

Core::Result<void> ModelSlots::remove(const std::string &digest, std::uint64_t fence)
{
    BOOST_OUTCOME_TRYV(checkFence(fence));
    const std::map<std::string, HeldModel>::iterator found = m_models.find(digest);
    if (found == m_models.end()) {
        return Core::makeError(Core::ErrorCode::NotFound, "remove model", "", "not held");
    }
    if (found->second.m_state == ModelState::Loading) {
        return Core::makeError(Core::ErrorCode::Unavailable, "remove model", "", "it is being loaded");
    }
    found->second.m_state = ModelState::Draining;
    found->second.m_fence = fence;
    if (found->second.m_running == 0) {
        m_models.erase(found);
    }
    return Core::success();
}

Core::Result<std::string> ModelSlots::acquire(const std::string &digest)
{
    const std::map<std::string, HeldModel>::iterator found = m_models.find(digest);
    if (found == m_models.end() || found->second.m_state != ModelState::Serving) {
        return Core::makeError(Core::ErrorCode::NotFound, "generate", "", "the model is not serving");
    }
    ++found->second.m_running;
    return found->second.m_actualDigest;
}

void ModelSlots::release(const std::string &digest)
{
    const std::map<std::string, HeldModel>::iterator found = m_models.find(digest);
    if (found == m_models.end() || found->second.m_running == 0) {
        return;
    }
    --found->second.m_running;
    if (found->second.m_running == 0 && found->second.m_state == ModelState::Draining) {
        m_models.erase(found);
    }
}

void ModelSlots::clear()
{
    m_models.clear();
    m_highestFence = 0;
}

std::vector<HeldModel> ModelSlots::models() const
{
    std::vector<HeldModel> result;
    for (const std::pair<const std::string, HeldModel> &entry : m_models) {
        result.push_back(entry.second);
    }
    return result;
}

}
