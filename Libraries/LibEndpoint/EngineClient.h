/// @file HTTP client for the local endpoint: orders, status requests and attempts.
#pragma once

#include "LibEndpoint/Engine.h"
#include "LibEndpoint/Exchange.h"
#include "LibEndpoint/OrderDecision.h"
#include "LibProtocol/Live.h"
#include "LibSettings/Reader.h"
#include "LibWeights/HeldVersion.h"

#include <memory>
#include <string>

namespace Endpoint {

enum class EndpointKind {
    Model,
    Plain,
};

/// The "engine" section of an agent's settings.
struct EngineSettings
{
    Core::Address m_address;
    EndpointKind m_kind = EndpointKind::Model;
    bool m_checksFencing = false; ///< Whether the engine refuses orders with an old fencing number; otherwise it ignores the number.
    std::uint32_t m_slots = 2; ///< Number of sets of weights that the engine can hold at a time.
    Core::Duration m_statusTimeout{2000};
    Core::Duration m_answerTimeout{15000}; ///< Maximum wait for the next byte of an answer.
    Core::Duration m_loadTimeout{120000}; ///< Maximum wait for the answer to a load order.
    Core::Duration m_pauseLimit{5000}; ///< A load order is aborted if this process pauses for longer between two writes of its body.

    bool operator==(const EngineSettings &) const = default;
};

EngineSettings readEngineSettings(Settings::Reader &reader);

/// Client of the local endpoint. Has no state apart from its settings; thread-safe.
class EngineClient
{
public:
    EngineClient(EngineSettings settings, const Network::NetworkSettings &network);

    const EngineSettings &settings() const
    {
        return m_settings;
    }

    Core::Result<EngineStatus> status() const;

    /**
     * Sends complete weights to the engine and waits until it serves them.
     *
     * Fails with Conflict if the engine has seen a newer order, Overloaded if it has no free slot, Corrupt if it received other bytes than were sent,
     * and Ambiguous if its answer was lost.
     */
    Core::Result<void> load(const Order &order, const Weights::HeldVersion &weights, const std::shared_ptr<AbortHandle> &abortHandle) const;
    /// Unloads weights. Fails as load() does; succeeds if the engine does not have the weights.
    Core::Result<void> unload(const Order &order) const;

    /// Starts an attempt at a model engine.
    Core::Result<std::unique_ptr<Exchange>>
    generate(const Protocol::LiveRequest &request, const std::string &contentDigest, const std::shared_ptr<AbortHandle> &abortHandle) const;
    /// Starts an attempt at a plain service.
    Core::Result<std::unique_ptr<Exchange>> call(const Protocol::LiveRequest &request, const std::shared_ptr<AbortHandle> &abortHandle) const;
    /// Requests that a model engine stop an attempt.
    Core::Result<void> cancel(const std::string &attempt) const;

private:
    Core::Result<std::unique_ptr<Exchange>> send(const ExchangeRequest &request, Core::Duration timeout) const;
    Core::Result<void> checkOrderAnswer(Exchange &exchange, const std::string &step) const;

    const EngineSettings m_settings;
    const Network::NetworkSettings m_network; ///< Has no gateway, because the endpoint is on this instance.
};

}
