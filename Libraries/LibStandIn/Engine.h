/// @file The model engine stand-in: holds models, batches requests, streams tokens and keeps a journal of the requests that it ran.
#pragma once

#include "LibStandIn/BatchQueue.h"
#include "LibStandIn/EngineSettings.h"
#include "LibStandIn/Faults.h"
#include "LibStandIn/HttpServer.h"
#include "LibStandIn/Journal.h"
#include "LibStandIn/LoadHistory.h"
#include "LibStandIn/ModelSlots.h"
#include "LibStandIn/PrefixCache.h"

#include <Poco/JSON/Object.h>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

namespace StandIn {

/// Fault switches of an engine.
struct EngineFaults
{
    double m_slowFactor = 1; ///< Multiplies the load time and the time per token.
    bool m_dieWhileLoading = false; ///< Simulates a crash halfway through the next load: all models and connections are lost.
    std::string m_misreportDigest; ///< Reported as the version instead of the actual digest, unless empty.
    bool m_hang = false; ///< Accepts connections, but answers only /faults and /journal.
    std::int64_t m_cutAnswersAfterTokens = 0; ///< Closes the connection after this number of tokens; 0 means never.
    bool m_refuseLoads = false;

    bool operator==(const EngineFaults &) const = default;
};

/// One request that ran, with the digest of the weights that it actually ran on.
struct EngineRun
{
    std::string m_request;
    std::string m_account;
    std::string m_question; ///< Identifier of the account and prompt in journals, see questionName().
    std::string m_digest;
    std::uint64_t m_tokens = 0;
    bool m_completed = false;

    bool operator==(const EngineRun &) const = default;
};

/// Body of POST /generate.
struct GenerateRequest
{
    std::string m_request;
    std::string m_account;
    std::string m_digest;
    std::string m_prompt;
    std::uint64_t m_maximumTokens = 0;
    std::int32_t m_priority = 0;

    bool operator==(const GenerateRequest &) const = default;
};

/// Parses the body of POST /generate. Fails with InvalidInput.
Core::Result<GenerateRequest> parseGenerateRequest(const std::string &body);

/// A model engine behind an HTTP server. Thread-safe; handle() runs on the threads of an HttpServer.
class Engine
{
public:
    explicit Engine(EngineSettings settings);

    /// Answers one HTTP request; blocks while it generates.
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    /// Wakes and ends all waiting handlers. Must be called before the server is stopped.
    void stop();

private:
    struct Generation; ///< A request that is queued or running.

    void answerStatus(Poco::Net::HTTPServerResponse &response);
    void answerJournal(Poco::Net::HTTPServerResponse &response);
    void load(const std::string &digest, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void unload(const std::string &digest, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void generate(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void cancel(const std::string &request, Poco::Net::HTTPServerResponse &response);

    /// Receives the body, waits for the simulated load time and returns the SHA-256 of the bytes. Fails if the body ends early,
    /// the engine stops or a crash is simulated.
    Core::Result<std::string> receiveWeights(Poco::Net::HTTPServerRequest &request);
    /// Waits for a place in the batch. Returns false if the request must stop before it gets one.
    bool enterBatch(Generation &generation);
    void leaveBatch(const Generation &generation);
    void stream(Generation &generation, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    /// Sends one line per token. Returns false if the answer cannot be completed.
    bool sendTokens(Generation &generation, std::ostream &output);
    /// Returns false if the request must stop before the time is over; see shouldStop().
    bool sleepFor(const Generation &generation, double milliseconds);
    /// Returns true if the engine is stopping, has crashed since the request arrived, or the request was cancelled.
    bool shouldStop(const Generation &generation) const;
    /// Discards all models and prefixes and ends all requests, as a restart would.
    void simulateCrash();
    /// Blocks while the fault "hang" is set. Returns false if the engine stops meanwhile.
    bool waitWhileHanging();
    void recordLoad();
    /// Returns the actual digest, or the one set by the fault "misreport_digest".
    std::string reportedVersion(const std::string &actualDigest) const;

    const EngineSettings m_settings;
    FaultState<EngineFaults> m_faults;
    Journal<EngineRun> m_journal;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::uint64_t m_incarnation = 0; ///< Incremented at each simulated crash; requests of an earlier incarnation end.
    ModelSlots m_slots;
    BatchQueue m_batch;
    PrefixCache m_prefixes;
    LoadHistory m_loadHistory;
    std::multiset<std::string> m_active; ///< Ids of requests in the queue or the batch.
    std::set<std::string> m_cancelled; ///< Ids in m_active whose requests were cancelled.
};

}
