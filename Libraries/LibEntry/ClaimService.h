/// @file Writing of claims for an entry's callers, through this entry's claim writer or that of another entry.
#pragma once

#include "LibClaims/ClaimWriter.h"
#include "LibControl/StateStore.h"
#include "LibControl/Worker.h"
#include "LibWire/Node.h"

namespace Entry {

struct ClaimServiceParts
{
    Wire::Node *m_node = nullptr;
    Control::StateStore *m_store = nullptr;
    Platform::Log *m_log = nullptr;
    Telemetry::Metrics *m_metrics = nullptr;
    Protocol::Member m_self;
    Claims::WriterSettings m_settings;
};

/// Handles control.claim and sends claims to the claim writers. Must be constructed before the node is started.
class ClaimService
{
public:
    explicit ClaimService(const ClaimServiceParts &parts);

    void start();
    void stop();

    /// Writes claims or tombstones for one key. Blocks until they have been read back from the log, at most until the deadline.
    Core::Result<Claims::ClaimAnswer> write(const std::string &key, const Claims::ClaimRequest &request, Core::Instant deadline);
    /// Returns a recent epoch for new keys; empty until one is known.
    std::string keyEpoch() const;

    const Claims::ClaimWriter &writer() const
    {
        return m_writer;
    }

private:
    Core::Result<Claims::ClaimAnswer> writeLocally(const Claims::ClaimRequest &request, Core::Duration timeout);
    Core::Result<Claims::ClaimAnswer> writeRemotely(const Protocol::Member &writer, const Claims::ClaimRequest &request, Core::Duration timeout);
    void handleClaim(const Wire::IncomingCall &call);
    Core::Duration poll();

    Wire::Node &m_node;
    Control::StateStore &m_store;
    const Protocol::Member m_self;
    Claims::ClaimWriter m_writer;
    mutable std::mutex m_mutex;
    std::optional<Claims::Epoch> m_epoch; ///< Epoch for new keys, as received from a writer; empty while no writer can be reached.
    Control::Worker m_worker; ///< Checks whether this entry is a claim reader, and queries the epoch if it has none of its own.
};

}
