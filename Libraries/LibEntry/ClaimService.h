/// @file Claims as an entry's callers need them: through this entry's writer or that of another entry.
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

/// Answers control.claim and sends claims to the writers. Must be constructed before the node is started.
class ClaimService
{
public:
    explicit ClaimService(const ClaimServiceParts &parts);

    void start();
    void stop();

    /// Has a request written that concerns one key; blocks until the result stands in the log, at most until the deadline.
    Core::Result<Claims::ClaimAnswer> write(const std::string &key, const Claims::ClaimRequest &request, Core::Instant deadline);
    /// The epoch for new keys, as of a moment ago; empty until it is known.
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
    std::optional<Claims::Epoch> m_epoch; ///< For new keys, as a writer told it; empty while none can be asked.
    Control::Worker m_worker; ///< Looks whether this entry is a reader, and asks for the epoch if it is not.
};

}
