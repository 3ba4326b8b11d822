/// @file Sending of claims to claim writers.

#include "LibEntry/ClaimService.h"
#include "LibClaims/ClaimWriterSelection.h"
#include "LibWire/Pack.h"

#include <future>

namespace Entry {

namespace {

/// Maximum claims and tombstones in one request from another entry.
constexpr std::size_t MaximumItemsPerRequest = 64;
/// Longest wait for one writer before the next one is tried. Claiming again at another writer is safe, since the attempt is the same.
constexpr Core::Duration WriterTimeout{3000};
constexpr Core::Duration EpochTimeout{1000};
/// Interval of the epoch query. An older epoch only shortens the lifetime of keys.
constexpr Core::Duration EpochPollInterval{1000};
/// Interval of the epoch query while it fails.
constexpr Core::Duration EpochRetryInterval{100};

Core::Duration remainingTime(Core::Instant deadline)
{
    return std::chrono::duration_cast<Core::Duration>(deadline - Core::Clock::now());
}

}

ClaimService::ClaimService(const ClaimServiceParts &parts)
    : m_node(*parts.m_node)
    , m_store(*parts.m_store)
    , m_self(parts.m_self)
    , m_writer(*parts.m_log, parts.m_self.m_id, parts.m_settings, *parts.m_metrics)
{
    m_node.handle(Claims::ClaimMethod, [this](const Wire::IncomingCall &call) { handleClaim(call); });
}

void ClaimService::start()
{
    m_writer.start();
    m_worker.start([this] { return poll(); });
}

void ClaimService::stop()
{
    m_worker.stop();
    m_writer.stop();
}

void ClaimService::handleClaim(const Wire::IncomingCall &call)
{
    const Core::Result<Claims::ClaimRequest> request = Wire::unpack<Claims::ClaimRequest>(call.m_body, call.m_peer);
    if (!request) {
        call.m_responder.fail(request.error());
        return;
    }
    if (request.value().m_claims.size() + request.value().m_tombstones.size() > MaximumItemsPerRequest) {
        call.m_responder.fail(Core::makeError(Core::ErrorCode::InvalidInput, "write claims", m_self.m_id, "too many claims in one request"));
        return;
    }
    const Wire::Responder responder = call.m_responder;
    m_writer.submit(request.value(), [responder](const Core::Result<Claims::ClaimAnswer> &result) {
        if (result) {
            responder.reply(Wire::pack(result.value()));
        } else {
            responder.fail(result.error());
        }
    });
}

Core::Result<Claims::ClaimAnswer> ClaimService::writeLocally(const Claims::ClaimRequest &request, Core::Duration timeout)
{
    const std::shared_ptr<std::promise<Core::Result<Claims::ClaimAnswer>>> promise = std::make_shared<std::promise<Core::Result<Claims::ClaimAnswer>>>();
    std::future<Core::Result<Claims::ClaimAnswer>> future = promise->get_future();
    m_writer.submit(request, [promise](const Core::Result<Claims::ClaimAnswer> &result) { promise->set_value(result); });
    if (future.wait_for(timeout) != std::future_status::ready) {
        return Core::makeError(Core::ErrorCode::Timeout, "write claims", m_self.m_id, "the claim's result did not come in time");
    }
    return future.get();
}

Core::Result<Claims::ClaimAnswer> ClaimService::writeRemotely(const Protocol::Member &writer, const Claims::ClaimRequest &request, Core::Duration timeout)
{
    const std::string bytes = BOOST_OUTCOME_TRYX(m_node.request(writer.m_wire, Claims::ClaimMethod, Wire::pack(request), timeout));
    const Claims::ClaimAnswer answer = BOOST_OUTCOME_TRYX(Wire::unpack<Claims::ClaimAnswer>(bytes, writer.m_id));
    if (answer.m_results.size() != request.m_claims.size()) {
        return Core::makeError(Core::ErrorCode::Corrupt, "write claims", writer.m_id, "the answer does not match the request");
    }
    return answer;
}

Core::Result<Claims::ClaimAnswer> ClaimService::write(const std::string &key, const Claims::ClaimRequest &request, Core::Instant deadline)
{
    const std::vector<Protocol::Member> members = m_store.members();
    Core::Error last = Core::makeError(Core::ErrorCode::Unavailable, "write claims", m_self.m_id, "no claim writer is known");
    for (const Protocol::Member &writer : Claims::selectClaimWriters(members, key)) {
        const Core::Duration remaining = std::min(remainingTime(deadline), WriterTimeout);
        if (remaining <= Core::Duration(0)) {
            break;
        }
        const bool here = writer.m_id == m_self.m_id;
        const Core::Result<Claims::ClaimAnswer> answer = here ? writeLocally(request, remaining) : writeRemotely(writer, request, remaining);
        if (answer) {
            return answer;
        }
        last = answer.error();
    }
    return last;
}

Core::Duration ClaimService::poll()
{
    const std::vector<Protocol::Member> members = m_store.members();
    m_writer.setReading(Claims::isClaimReader(members, m_self.m_id));
    Core::Result<Claims::Epoch> epoch = m_writer.epoch();
    if (!epoch) {
        const Core::Result<Claims::ClaimAnswer> answer = write(m_self.m_id, Claims::ClaimRequest(), Core::Clock::now() + EpochTimeout);
        epoch = answer ? Core::Result<Claims::Epoch>(answer.value().m_epoch) : Core::Result<Claims::Epoch>(answer.error());
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_epoch = epoch ? std::optional<Claims::Epoch>(epoch.value()) : std::nullopt;
    return epoch ? EpochPollInterval : EpochRetryInterval;
}

std::string ClaimService::keyEpoch() const
{
    const Core::Result<Claims::Epoch> epoch = m_writer.epoch();
    if (epoch) {
        return Claims::formatEpoch(epoch.value());
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_epoch ? Claims::formatEpoch(*m_epoch) : std::string();
}

}
