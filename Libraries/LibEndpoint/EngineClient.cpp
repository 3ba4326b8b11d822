/// @file Implementation of EngineClient.

#include "LibEndpoint/EngineClient.h"
#include "LibEndpoint/EngineMessages.h"

namespace Endpoint {

namespace {

constexpr std::size_t MaximumStatusBytes = 64 << 10;
constexpr std::size_t MaximumOrderAnswerBytes = 4096;
constexpr std::size_t WriteBlockBytes = 64 << 10;
constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpConflict = 409;
constexpr int HttpInsufficientStorage = 507;

constexpr const char *FenceHeader = "Oriolerail-Fence";
constexpr const char *AccountHeader = "Oriolerail-Account";
constexpr const char *AttemptHeader = "Oriolerail-Attempt";
constexpr const char *KeyHeader = "Idempotency-Key";

Network::NetworkSettings withoutGateway(const Network::NetworkSettings &network)
{
    Network::NetworkSettings direct;
    direct.m_bindHost = network.m_bindHost;
    return direct;
}

/**
 * Writes the weights and aborts if the process was paused in between.
 *
 * Otherwise an agent that was paused could complete its order long after its successor has carried out a newer plan. An engine that
 * does not receive the complete body loads nothing.
 */
class WeightsWriter
{
public:
    WeightsWriter(const Weights::HeldVersion &weights, Core::Duration pauseLimit)
        : m_weights(weights)
        , m_pauseLimit(pauseLimit)
        , m_start(Core::Clock::now())
    {
    }

    bool operator()(std::ostream &stream) const
    {
        Core::Instant last = m_start;
        for (const Weights::ChunkBytes &chunk : m_weights.m_chunks) {
            for (std::size_t offset = 0; offset < chunk->size(); offset += WriteBlockBytes) {
                const Core::Instant now = Core::Clock::now();
                if (now - last > m_pauseLimit) {
                    return false;
                }
                last = now;
                stream.write(chunk->data() + offset, static_cast<std::streamsize>(std::min(WriteBlockBytes, chunk->size() - offset)));
            }
        }
        return stream.good() && Core::Clock::now() - last <= m_pauseLimit;
    }

private:
    const Weights::HeldVersion &m_weights;
    const Core::Duration m_pauseLimit;
    const Core::Instant m_start; ///< Time directly after the check of the order's fence.
};

void addFence(ExchangeRequest &request, const Order &order)
{
    request.m_headers.push_back(Header{FenceHeader, std::to_string(order.m_fence)});
}

}

EngineSettings readEngineSettings(Settings::Reader &reader)
{
    EngineSettings settings;
    settings.m_address = reader.address("address");
    settings.m_kind = reader.choice("kind", {"model", "plain"}, "model") == "model" ? EndpointKind::Model : EndpointKind::Plain;
    settings.m_checksFencing = reader.flag("checks_fencing", settings.m_checksFencing);
    settings.m_slots = static_cast<std::uint32_t>(reader.integer("slots", 1, 16, settings.m_slots));
    settings.m_statusTimeout = reader.milliseconds("status_timeout_ms", 50, 60000, settings.m_statusTimeout.count());
    settings.m_answerTimeout = reader.milliseconds("answer_timeout_ms", 50, 600000, settings.m_answerTimeout.count());
    settings.m_loadTimeout = reader.milliseconds("load_timeout_ms", 100, 3600000, settings.m_loadTimeout.count());
    settings.m_pauseLimit = reader.milliseconds("pause_limit_ms", 100, 60000, settings.m_pauseLimit.count());
    return settings;
}

EngineClient::EngineClient(EngineSettings settings, const Network::NetworkSettings &network)
    : m_settings(std::move(settings))
    , m_network(withoutGateway(network))
{
}

Core::Result<EngineStatus> EngineClient::status() const
{
    ExchangeRequest request;
    request.m_path = "/status";
    const std::unique_ptr<Exchange> exchange = BOOST_OUTCOME_TRYX(send(request, m_settings.m_statusTimeout));
    const std::string body = BOOST_OUTCOME_TRYX(exchange->readAll(MaximumStatusBytes));
    if (exchange->status() != HttpOk) {
        return Core::makeError(Core::ErrorCode::Unavailable, "ask status", m_settings.m_address.toString(), "status " + std::to_string(exchange->status()));
    }
    return parseStatus(body, m_settings.m_address.toString());
}

Core::Result<void> EngineClient::load(const Order &order, const Weights::HeldVersion &weights, const std::shared_ptr<AbortHandle> &abortHandle) const
{
    ExchangeRequest request;
    request.m_method = "PUT";
    request.m_path = "/models/" + order.m_contentDigest;
    request.m_bodyBytes = weights.m_manifest.m_totalBytes;
    request.m_writeBody = WeightsWriter(weights, m_settings.m_pauseLimit);
    addFence(request, order);
    const std::unique_ptr<Exchange> exchange =
        BOOST_OUTCOME_TRYX(Exchange::open(m_network, m_settings.m_address, request, m_settings.m_loadTimeout, abortHandle));
    BOOST_OUTCOME_TRYV(checkOrderAnswer(*exchange, "load weights"));
    const std::string body = BOOST_OUTCOME_TRYX(exchange->readAll(MaximumOrderAnswerBytes));
    const std::string named = BOOST_OUTCOME_TRYX(parseLoadAnswer(body, m_settings.m_address.toString()));
    if (named != order.m_contentDigest) {
        return Core::makeError(Core::ErrorCode::Corrupt, "load weights", m_settings.m_address.toString(), "the engine names the version " + named);
    }
    return Core::success();
}

Core::Result<void> EngineClient::unload(const Order &order) const
{
    ExchangeRequest request;
    request.m_method = "DELETE";
    request.m_path = "/models/" + order.m_contentDigest;
    addFence(request, order);
    const std::unique_ptr<Exchange> exchange = BOOST_OUTCOME_TRYX(send(request, m_settings.m_answerTimeout));
    if (exchange->status() == HttpNotFound) {
        return Core::success();
    }
    return checkOrderAnswer(*exchange, "unload weights");
}

Core::Result<std::unique_ptr<Exchange>>
EngineClient::generate(const Protocol::LiveRequest &request, const std::string &contentDigest, const std::shared_ptr<AbortHandle> &abortHandle) const
{
    std::string body = BOOST_OUTCOME_TRYX(generateBody(request, contentDigest));
    ExchangeRequest exchange = textRequest("POST", "/generate", std::move(body));
    exchange.m_headers.push_back(Header{"Content-Type", "application/json"});
    return Exchange::open(m_network, m_settings.m_address, exchange, m_settings.m_answerTimeout, abortHandle);
}

Core::Result<std::unique_ptr<Exchange>> EngineClient::call(const Protocol::LiveRequest &request, const std::shared_ptr<AbortHandle> &abortHandle) const
{
    BOOST_OUTCOME_TRYV(checkPath(request.m_path));
    BOOST_OUTCOME_TRYV(checkHeaderText("account", request.m_account));
    BOOST_OUTCOME_TRYV(checkHeaderText("attempt", request.m_attempt));
    BOOST_OUTCOME_TRYV(checkHeaderText("key", request.m_key));
    ExchangeRequest exchange = textRequest("POST", request.m_path, request.m_body);
    exchange.m_headers.push_back(Header{AccountHeader, request.m_account});
    exchange.m_headers.push_back(Header{AttemptHeader, request.m_attempt});
    if (!request.m_key.empty()) {
        exchange.m_headers.push_back(Header{KeyHeader, request.m_key});
    }
    return Exchange::open(m_network, m_settings.m_address, exchange, m_settings.m_answerTimeout, abortHandle);
}

Core::Result<void> EngineClient::cancel(const std::string &attempt) const
{
    ExchangeRequest request;
    request.m_method = "POST";
    request.m_path = "/cancel/" + attempt;
    BOOST_OUTCOME_TRYV(checkPath(request.m_path));
    BOOST_OUTCOME_TRYV(send(request, m_settings.m_statusTimeout));
    return Core::success();
}

Core::Result<std::unique_ptr<Exchange>> EngineClient::send(const ExchangeRequest &request, Core::Duration timeout) const
{
    return Exchange::open(m_network, m_settings.m_address, request, timeout, std::make_shared<AbortHandle>());
}

Core::Result<void> EngineClient::checkOrderAnswer(Exchange &exchange, const std::string &step) const
{
    const std::string peer = m_settings.m_address.toString();
    switch (exchange.status()) {
    case HttpOk:
        return Core::success();
    case HttpConflict:
        return Core::makeError(Core::ErrorCode::Conflict, step, peer, "the engine has seen a newer order");
    case HttpInsufficientStorage:
        return Core::makeError(Core::ErrorCode::Overloaded, step, peer, "the engine has no free slot");
    default:
        return Core::makeError(Core::ErrorCode::Unavailable, step, peer, "status " + std::to_string(exchange.status()));
    }
}

}
