/// @file The plain service stand-in: each call has one effect, and the journal of effects shows calls that ran twice.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibSettings/Reader.h"
#include "LibStandIn/BatchQueue.h"
#include "LibStandIn/Faults.h"
#include "LibStandIn/HttpServer.h"
#include "LibStandIn/Journal.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace StandIn {

/// Settings of one service. A process can host several services.
struct ServiceSettings
{
    Core::Address m_listen;
    std::uint32_t m_capacity = 8; ///< Maximum number of calls performed concurrently.
    std::uint32_t m_maximumQueued = 64; ///< Maximum number of waiting calls; further calls are refused without an effect.
    double m_workMs = 5; ///< Time to perform a call.

    bool operator==(const ServiceSettings &) const = default;
};

/// Contents of the settings file of standin-service.
struct ServiceProgramSettings
{
    std::vector<ServiceSettings> m_services;
    int m_maximumThreads = 0; ///< Maximum number of requests handled concurrently by the process.

    bool operator==(const ServiceProgramSettings &) const = default;
};

/// Reads one service at the top level or the list "services". Items of the list inherit missing fields from the top level.
ServiceProgramSettings readServiceProgramSettings(Settings::Reader &reader);

/// Fault switches of a service.
struct ServiceFaults
{
    bool m_loseAnswers = false; ///< Performs the effect and closes the connection without an answer.
    double m_slowMs = 0; ///< Added to m_workMs of each call.
    bool m_hang = false; ///< Accepts connections, but answers only /faults and /journal.
    bool m_refuse = false; ///< Answers 503 and performs no effect.

    bool operator==(const ServiceFaults &) const = default;
};

/// One performed effect.
struct ServiceEffect
{
    std::uint64_t m_effect = 0; ///< Sequence number within the service, from 1.
    std::string m_key;
    std::string m_attempt;
    std::string m_account;
    std::string m_path;

    bool operator==(const ServiceEffect &) const = default;
};

/// A plain service behind an HTTP server. Thread-safe; handle() runs on the threads of an HttpServer.
class PlainService
{
public:
    explicit PlainService(ServiceSettings settings);

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    /// Wakes and ends all waiting handlers. Must be called before the server is stopped.
    void stop();

private:
    void answerStatus(Poco::Net::HTTPServerResponse &response);
    void answerJournal(Poco::Net::HTTPServerResponse &response);
    void perform(const std::string &path, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    /// Returns false if the service stops before the time is over.
    bool sleepFor(double milliseconds);
    /// Blocks while the fault "hang" is set. Returns false if the service stops meanwhile.
    bool waitWhileHanging();
    /// Waits for a free slot. Returns false if the service stops, or if the queue is full; then @p full is set.
    bool acquireSlot(bool &full);
    void releaseSlot();

    const ServiceSettings m_settings;
    FaultState<ServiceFaults> m_faults;
    Journal<ServiceEffect> m_journal;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    BatchQueue m_calls;
    std::uint64_t m_effects = 0;
};

}
