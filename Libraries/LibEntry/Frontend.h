/// @file State and services shared by the handlers of callers' requests.
#pragma once

#include "LibCore/ByteBudget.h"
#include "LibEntry/ClaimService.h"
#include "LibEntry/EntrySettings.h"
#include "LibEntry/Router.h"
#include "LibEntry/VersionTracker.h"

#include <atomic>

namespace Entry {

/// Phase of an entry's lifecycle.
enum class EntryState {
    Serving,
    Leaving, ///< Announced as leaving, but still serving callers that have its address.
    Draining, ///< New requests are refused; running ones are completed.
};

/// What a request holds memory for.
enum class MemoryUse {
    Request, ///< Its body.
    Answer, ///< What was received of its answer.
};

/// The components that a request passes through; all outlive the HTTP server.
struct Frontend
{
    const EntrySettings *m_settings = nullptr;
    Wire::Node *m_node = nullptr;
    Control::StateStore *m_store = nullptr;
    Router *m_router = nullptr;
    VersionTracker *m_versions = nullptr;
    ClaimService *m_claims = nullptr;
    Telemetry::Metrics *m_metrics = nullptr;
    std::shared_ptr<Core::ByteBudget> m_requestMemory; ///< For the bodies of all requests.
    std::shared_ptr<Core::ByteBudget> m_answerMemory; ///< For what was received of all answers and has not been sent to their callers.
    std::atomic<EntryState> m_state = EntryState::Serving;
    std::atomic<Core::Instant> m_requestsEndAt = Core::Instant::max(); ///< New requests must end by then. Set before m_state while leaving.
    std::atomic<std::size_t> m_openRequests = 0; ///< Requests that have not been answered completely.
};

/// Returns the addresses for callers of live entries, at most @p count, in random order. Includes this entry's address unless it is leaving.
std::vector<std::string> callerAddresses(const Frontend &frontend, std::size_t count);

/// Returns the refusal of a new request with this deadline by an entry that is draining, or that ends before the deadline; empty if it is accepted.
std::optional<CallerError> refusalWhileLeaving(const Frontend &frontend, Core::Instant deadline);
/// Adds the addresses of other entries to any refusal of an entry that is leaving, whatever its reason.
CallerError withOtherEntries(const Frontend &frontend, CallerError error);
/// Returns the refusal of requests while no accepted state is known; empty if one is known.
std::optional<CallerError> refusalUnlessReady(const Frontend &frontend);
/// Counts and logs a request that was refused or given up because others fill the memory.
void recordMemoryShortage(const Frontend &frontend, MemoryUse use, const Core::Error &error);

}
