/// @file Refusals of requests and addresses of entries.

#include "LibEntry/Frontend.h"

#include <glog/logging.h>

namespace Entry {

namespace {

constexpr Core::Duration DefaultRetryAfter{1000};
constexpr double ShortageLogSeconds = 1; ///< Least time between two log lines about memory.

}

std::vector<std::string> callerAddresses(const Frontend &frontend, std::size_t count)
{
    const Protocol::Member &self = frontend.m_settings->m_instance.m_member;
    std::vector<std::string> addresses;
    for (const Protocol::Member &member : frontend.m_store->members()) {
        const bool isOther = member.m_role == Protocol::Role::Entry && member.m_id != self.m_id;
        if (isOther && !member.m_leaving && !member.m_callers.isEmpty()) {
            addresses.push_back(member.m_callers.toString());
        }
    }
    if (frontend.m_state == EntryState::Serving) {
        addresses.push_back(self.m_callers.toString());
    }
    Core::Random random(Core::stableHash(Core::randomIdentifier()));
    for (std::size_t index = addresses.size(); index > 1; --index) {
        std::swap(addresses[index - 1], addresses[random.below(index)]);
    }
    addresses.resize(std::min(count, addresses.size()));
    return addresses;
}

std::optional<CallerError> refusalWhileLeaving(const Frontend &frontend, Core::Instant deadline)
{
    if (frontend.m_state != EntryState::Draining && deadline <= frontend.m_requestsEndAt.load()) {
        return std::nullopt;
    }
    CallerError error;
    error.m_code = CallerCode::NotRun;
    error.m_error = Core::makeError(Core::ErrorCode::Unavailable, "accept request", frontend.m_settings->m_instance.m_member.m_id, "this entry is leaving");
    error.m_retryAfter = DefaultRetryAfter;
    return withOtherEntries(frontend, std::move(error));
}

CallerError withOtherEntries(const Frontend &frontend, CallerError error)
{
    if (error.m_code == CallerCode::NotRun && frontend.m_state != EntryState::Serving) {
        error.m_addresses = callerAddresses(frontend, frontend.m_settings->m_addressesPerAnswer);
    }
    return error;
}

std::optional<CallerError> refusalUnlessReady(const Frontend &frontend)
{
    if (frontend.m_store->isReady()) {
        return std::nullopt;
    }
    CallerError error;
    error.m_code = CallerCode::NotRun;
    error.m_error = Core::makeError(
        Core::ErrorCode::Unavailable, "accept request", frontend.m_settings->m_instance.m_member.m_id, "no accepted configuration is known yet");
    error.m_retryAfter = DefaultRetryAfter;
    return error;
}

void recordMemoryShortage(const Frontend &frontend, MemoryUse use, const Core::Error &error)
{
    const bool isForRequest = use == MemoryUse::Request;
    frontend.m_metrics->counter(isForRequest ? "callers_without_memory_total{use=\"requests\"}" : "callers_without_memory_total{use=\"answers\"}").add();
    const Core::ByteBudget &memory = isForRequest ? *frontend.m_requestMemory : *frontend.m_answerMemory;
    LOG_EVERY_T(WARNING, ShortageLogSeconds) << error << ", held " << memory.held() << " of " << memory.limit() << " bytes";
}

}
