/// @file The plain service stand-in: every call has an effect, and the journal of effects shows which ran twice.
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

/// One service; a process can host several.
struct ServiceSettings
{
    Core::Address m_listen;
    std::uint32_t m_capacity = 8; ///< Calls at once.
    std::uint32_t m_maximumQueued = 64; ///< Calls waiting; more are refused without an effect.
    double m_workMs = 5;

    bool operator==(const ServiceSettings &) const = default;
};

/// Everything in the settings file of standin-service.
struct ServiceProgramSettings
{
    std::vector<ServiceSettings> m_services;
    int m_maximumThreads = 0;

    bool operator==(const ServiceProgramSettings &) const = default;
};

/// Reads either one service at the top level or the list "services", whose items take missing fields from the top level.
ServiceProgramSettings readServiceProgramSettings(Settings::Reader &reader);

/// Fault switches of a service.
struct ServiceFaults
{
    bool m_loseAnswers = false; ///< The effect is performed and the connection closed without an answer.
    double m_slowMs = 0; ///< Added to the work of each call.
    bool m_hang = false; ///< Takes connections and answers nothing but /faults and /journal.
    bool m_refuse = false; ///< Answers 503 without an effect.

    bool operator==(const ServiceFaults &) const = default;
};

/// One effect that was performed.
struct ServiceEffect
{
    std::uint64_t m_effect = 0; ///< Counted from 1 at each service.
    std::string m_key;
    std::string m_attempt;
    std::string m_account;
    std::string m_path;

    bool operator==(const ServiceEffect &) const = default;
};

/// Thread-safe; handle() runs on the threads of an HttpServer.
class PlainService
{
public:
    explicit PlainService(ServiceSettings settings);

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    /// Ends everything that waits, before its server is stopped.
    void stop();

private:
    void answerStatus(Poco::Net::HTTPServerResponse &response);
    void answerJournal(Poco::Net::HTTPServerResponse &response);
    void perform(const std::string &path, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    /// False if the service stops before.
    bool sleepFor(double milliseconds);
    bool waitWhileHanging();
    /// Waits for one of the places; false if the queue is full or the service stops.
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
