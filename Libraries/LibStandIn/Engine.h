/// @file The model engine stand-in: holds models, batches requests, streams tokens and keeps a journal of what truly ran.
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
    double m_slowFactor = 1; ///< Multiplies every time that the engine takes.
    bool m_dieWhileLoading = false; ///< In the middle of the next load it loses its models and all its connections.
    std::string m_misreportDigest; ///< Named as its version instead of the true one, unless empty.
    bool m_hang = false; ///< Takes connections and answers nothing but /faults and /journal.
    std::int64_t m_cutAnswersAfterTokens = 0; ///< Closes the connection after so many tokens; 0 never.
    bool m_refuseLoads = false;

    bool operator==(const EngineFaults &) const = default;
};

/// One request that ran, by the weights that it truly ran on.
struct EngineRun
{
    std::string m_request;
    std::string m_account;
    std::string m_question; ///< questionName() of account and prompt.
    std::string m_digest;
    std::uint64_t m_tokens = 0;
    bool m_completed = false;

    bool operator==(const EngineRun &) const = default;
};

/// A request to generate, as POST /generate carries it.
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

/// Reads a GenerateRequest; fails with InvalidInput.
Core::Result<GenerateRequest> parseGenerateRequest(const std::string &body);

/// Thread-safe; handle() runs on the threads of an HttpServer.
class Engine
{
public:
    explicit Engine(EngineSettings settings);

    /// Answers one HTTP request; blocks while it generates.
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    /// Ends everything that waits, before its server is stopped.
    void stop();

private:
    struct Generation; ///< One request between its arrival and its end.

    void answerStatus(Poco::Net::HTTPServerResponse &response);
    void answerJournal(Poco::Net::HTTPServerResponse &response);
    void load(const std::string &digest, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void unload(const std::string &digest, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void generate(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void cancel(const std::string &request, Poco::Net::HTTPServerResponse &response);

    /// Digest of the whole body, with the time of loading spent; fails if the body ends early or the engine dies.
    Core::Result<std::string> receiveWeights(Poco::Net::HTTPServerRequest &request);
    /// Waits for a place in the batch; false if the request was cancelled before.
    bool enterBatch(Generation &generation);
    void leaveBatch(const Generation &generation);
    void stream(Generation &generation, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    /// Sends the lines of the tokens; false if the answer cannot be completed.
    bool sendTokens(Generation &generation, std::ostream &output);
    /// False if the engine stops, dies or the request is cancelled before.
    bool sleepFor(const Generation &generation, double milliseconds);
    bool shouldStop(const Generation &generation) const;
    void simulateCrash();
    bool waitWhileHanging();
    void recordLoad();
    std::string reportedVersion(const std::string &actualDigest) const;

    const EngineSettings m_settings;
    FaultState<EngineFaults> m_faults;
    Journal<EngineRun> m_journal;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::uint64_t m_incarnation = 0; ///< Grows each time the engine dies; work of an earlier life ends.
    ModelSlots m_slots;
    BatchQueue m_batch;
    PrefixCache m_prefixes;
    LoadHistory m_loadHistory;
    std::multiset<std::string> m_active; ///< Requests in the queue or the batch.
    std::set<std::string> m_cancelled; ///< Those of m_active that are to end.
};

}
