/// @file Orders and inquiries to the local endpoint over HTTP.
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
    bool m_checksFencing = false; ///< Refuses orders with an old fencing number; one that doesn't ignores the number.
    std::uint32_t m_slots = 2; ///< Sets of weights that the engine holds at once.
    Core::Duration m_statusTimeout{2000};
    Core::Duration m_answerTimeout{15000}; ///< Longest wait for the next byte of an answer.
    Core::Duration m_loadTimeout{120000}; ///< Longest wait for the answer to a load order.
    Core::Duration m_pauseLimit{5000}; ///< A load order whose bytes stand still for longer on this side is broken off.

    bool operator==(const EngineSettings &) const = default;
};

EngineSettings readEngineSettings(Settings::Reader &reader);

/// Stateless apart from its settings; usable from any thread.
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
     * Hands whole weights to the engine and waits until it serves them.
     *
     * Fails with Conflict if the engine has seen a newer order, Overloaded if it has no room, Corrupt if it received something else than was sent,
     * and Ambiguous if its answer was lost.
     */
    Core::Result<void> load(const Order &order, const Weights::HeldVersion &weights, const std::shared_ptr<AbortHandle> &breaker) const;
    /// Fails as load() does; weights that the engine doesn't have count as unloaded.
    Core::Result<void> unload(const Order &order) const;

    /// Starts an attempt at a model engine.
    Core::Result<std::unique_ptr<Exchange>>
    generate(const Protocol::LiveRequest &request, const std::string &contentDigest, const std::shared_ptr<AbortHandle> &breaker) const;
    /// Starts an attempt at a plain service.
    Core::Result<std::unique_ptr<Exchange>> call(const Protocol::LiveRequest &request, const std::shared_ptr<AbortHandle> &breaker) const;
    /// Asks a model engine to stop an attempt.
    Core::Result<void> cancel(const std::string &attempt) const;

private:
    Core::Result<std::unique_ptr<Exchange>> send(const ExchangeRequest &request, Core::Duration timeout) const;
    Core::Result<void> checkOrderAnswer(Exchange &exchange, const std::string &step) const;

    const EngineSettings m_settings;
    const Network::NetworkSettings m_network; ///< Without the gateway: the endpoint is on this instance.
};

}
