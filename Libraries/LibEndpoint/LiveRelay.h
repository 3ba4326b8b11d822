/// @file Relays callers' requests to the local endpoint and the answers back to the entries.
#pragma once

#include "LibEndpoint/AnswerFramer.h"
#include "LibEndpoint/AttemptTracker.h"
#include "LibEndpoint/EngineClient.h"
#include "LibEndpoint/PriorityPool.h"
#include "LibTelemetry/Metrics.h"
#include "LibWire/Call.h"

#include <Poco/JSON/Object.h>
#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Endpoint {

/// Interface from the relay to the rest of the agent. Thread-safe.
class RelayHost
{
public:
    virtual ~RelayHost() = default;

    /// Returns the content digest of the weights with this manifest digest if the engine currently serves them.
    virtual std::optional<std::string> servedContentDigest(const std::string &manifestDigest) const = 0;
    /// Number of requests that the endpoint can run at a time.
    virtual std::uint32_t capacity() const = 0;
    /// Called when the engine reported another version in an answer for these weights.
    virtual void onVersionMismatch(const std::string &contentDigest) = 0;
    /// Called with the number of bytes that live traffic has used on the instance's link.
    virtual void onLiveBytes(std::uint64_t bytes) = 0;
};

struct RelaySettings
{
    PoolLimits m_pool;
    AttemptTrackerLimits m_attemptLimits;
    std::size_t m_maximumBytesPerAnswer = 8 << 20; ///< Maximum size of a plain service's answer.

    bool operator==(const RelaySettings &other) const;
};

RelaySettings readRelaySettings(Settings::Reader &reader);

/// Dependencies of a relay. Client, host and metrics must outlive it.
struct RelayParts
{
    RelaySettings m_settings;
    Protocol::Member m_self;
    const EngineClient *m_client = nullptr;
    RelayHost *m_host = nullptr;
    Telemetry::Metrics *m_metrics = nullptr;
};

/**
 * Runs attempts on a bounded pool of threads.
 *
 * A repeatable attempt is stopped at the engine when its entry no longer waits for it. An attempt that must not be repeated runs to its end,
 * and its answer is stored so that the entry can request its outcome.
 */
class LiveRelay
{
public:
    explicit LiveRelay(RelayParts parts);
    ~LiveRelay();

    LiveRelay(const LiveRelay &) = delete;
    LiveRelay &operator=(const LiveRelay &) = delete;

    void start();
    /// Refuses queued attempts, aborts running ones and joins the threads.
    void stop();

    /// Handler of live.call; does not block.
    void onCall(const Wire::IncomingCall &call);
    /// Handler of live.outcome; does not block.
    void onOutcomeRequest(const Wire::IncomingCall &call);

    /// Refuses new calls from now on. Running calls continue.
    void startLeaving();
    /// Returns true if no attempt is queued or running and every answer has been sent.
    bool isDrained() const;

    /// Number of attempts that are queued or running, and the endpoint's capacity.
    Protocol::EndpointLoad load() const;
    Poco::JSON::Object::Ptr dump() const;

private:
    struct Job
    {
        Protocol::LiveRequest m_request;
        Wire::Responder m_responder;
        std::optional<Core::Instant> m_deadline;
        std::shared_ptr<AbortHandle> m_abortHandle;
    };

    /// An attempt at the endpoint that the monitor thread aborts if it is late or cancelled.
    struct RunningAttempt
    {
        Wire::Responder m_responder;
        std::optional<Core::Instant> m_deadline;
        std::shared_ptr<AbortHandle> m_abortHandle;
        bool m_repeatable = true;
    };

    /// Ends the queued attempts as not run. No attempt is accepted any more.
    void refuseQueued();
    Core::Result<void> admit(const Protocol::LiveRequest &request);
    void run(Job &job);
    Core::Result<void> beginAttempt(const Job &job);
    Core::Result<void> runModel(Job &job);
    Core::Result<void> streamTokens(Job &job, Exchange &exchange, const std::string &contentDigest);
    Core::Result<void> runPlain(Job &job);
    Core::Result<void> sendFrame(const Job &job, const Protocol::AnswerFrame &frame);
    void finishJob(const Job &job, const Core::Result<void> &result);
    void cancelAtEngine(const Job &job);
    void monitorAttempts();
    std::list<RunningAttempt>::iterator addRunningAttempt(const Job &job);
    void removeRunningAttempt(std::list<RunningAttempt>::iterator attempt);

    const RelayParts m_parts;
    Telemetry::Counter &m_callsFinished;
    Telemetry::Counter &m_callsFailed;
    Telemetry::Counter &m_callsRefused;
    Telemetry::Counter &m_callsCancelled;
    Telemetry::Counter &m_versionMismatches;
    Telemetry::Counter &m_outcomesAsked;
    Telemetry::Counter &m_outcomesLost;
    Telemetry::Latency &m_firstFrameLatency;
    std::atomic<bool> m_leaving = false;

    mutable std::mutex m_attemptsMutex;
    AttemptTracker m_attempts;

    mutable std::mutex m_runningMutex;
    std::condition_variable m_runningChanged;
    std::list<RunningAttempt> m_runningAttempts;
    std::vector<Wire::Responder> m_flushingResponders; ///< Responders of finished answers that may not be sent completely yet.
    bool m_stopping = false;
    std::thread m_monitorThread;

    PriorityPool<Job> m_pool; ///< Last member, because its threads use the others.
};

}
