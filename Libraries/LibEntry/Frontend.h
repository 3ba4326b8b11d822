/// @file What the handlers of callers' requests share.
#pragma once

#include "LibEntry/ClaimService.h"
#include "LibEntry/EntrySettings.h"
#include "LibEntry/Router.h"
#include "LibEntry/VersionTracker.h"

#include <atomic>

namespace Entry {

/// Where an entry is in its life.
enum class EntryState {
    Serving,
    Leaving, ///< Leaving, but still serving callers that hold its address.
    Draining, ///< New work is refused; what runs is finished.
};

/// References to the parts that a request passes through; all outlive the HTTP server.
struct Frontend
{
    const EntrySettings *m_settings = nullptr;
    Wire::Node *m_node = nullptr;
    Control::StateStore *m_store = nullptr;
    Router *m_router = nullptr;
    VersionTracker *m_versions = nullptr;
    ClaimService *m_claims = nullptr;
    Telemetry::Metrics *m_metrics = nullptr;
    std::atomic<EntryState> m_state = EntryState::Serving;
    std::atomic<std::size_t> m_openRequests = 0; ///< Requests for work that have not been answered to their end.
};

/// Callers' addresses of live entries, at most @p count, in random order; this entry's own unless it is leaving.
std::vector<std::string> callerAddresses(const Frontend &frontend, std::size_t count);

/// The refusal of new work while leaving; empty if work is taken.
std::optional<CallerError> refusalWhileDraining(const Frontend &frontend);
/// Adds to a refusal of an entry that is leaving where the caller may go instead, whatever the reason of the refusal.
CallerError withOtherEntries(const Frontend &frontend, CallerError error);
/// The refusal before any accepted state is known; empty if it is.
std::optional<CallerError> refusalUnlessReady(const Frontend &frontend);

}
