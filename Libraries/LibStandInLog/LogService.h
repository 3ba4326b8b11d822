/// @file HTTP interface of the log stand-in. The protocol is described in docs/STANDINS.md.
#pragma once

#include "LibSettings/Reader.h"
#include "LibStandIn/Faults.h"
#include "LibStandIn/HttpServer.h"
#include "LibStandInLog/DelayedInstanceList.h"
#include "LibStandInLog/LogStore.h"

namespace StandIn {

/// Settings of standin-log.
struct LogServiceSettings
{
    Core::Address m_listen;
    LogSettings m_log;
    Core::Duration m_listLag{2000}; ///< Time after which changes of the instance list become visible.

    bool operator==(const LogServiceSettings &) const = default;
};

LogServiceSettings readLogServiceSettings(Settings::Reader &reader);

/// Fault switches of the service, set over HTTP.
struct LogServiceFaults
{
    LogFaults m_log;
    bool m_listDown = false; ///< GET /instances answers 503.

    bool operator==(const LogServiceFaults &) const = default;
};

/// The log and the instance list behind an HTTP server. Thread-safe; handle() runs on the threads of an HttpServer.
class LogService
{
public:
    explicit LogService(const LogServiceSettings &settings);

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    /// Wakes and ends all waiting reads. Must be called before the server is stopped.
    void stop();

private:
    void route(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void answerFaults(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    Core::Result<void> changeFaults(const std::string &body);
    void append(const std::string &stream, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void read(const std::string &stream, const std::string &query, Poco::Net::HTTPServerResponse &response);
    void putInstance(const std::string &id, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void listInstances(Poco::Net::HTTPServerResponse &response);

    LogStore m_log;
    DelayedInstanceList m_list;
    FaultState<LogServiceFaults> m_faults;
};

}
