/// @file The administrative HTTP server of each process: metrics, state dump, health and a few commands.
#pragma once

#include "LibCore/Address.h"
#include "LibTelemetry/Metrics.h"

#include <Poco/JSON/Object.h>
#include <functional>
#include <memory>
#include <string>

namespace Poco::Net {
class HTTPServer;
}

namespace Telemetry {

/// Answer of one administrative page.
struct AdminAnswer
{
    int m_status = 200;
    std::string m_contentType = "application/json";
    std::string m_body;
};

/// A request to an administrative page. Requests with bodies over the limit are refused before they reach a page.
struct AdminRequest
{
    std::string m_method;
    std::string m_path;
    std::string m_query; ///< Without the question mark.
    std::string m_body;
};

/**
 * Serves GET /metrics, /dump and /healthz, and further pages that the process adds.
 *
 * Pages and dump sections must be added before start(); they run on the server's own threads.
 */
class AdminServer
{
public:
    AdminServer(Core::Address listen, Metrics &metrics);
    ~AdminServer();

    using Section = std::function<Poco::JSON::Object::Ptr()>;
    using Page = std::function<AdminAnswer(const AdminRequest &)>;

    /// Adds a part of the state dump under the given key.
    void addDumpSection(const std::string &name, Section section);
    /// Adds a page at an exact path.
    void addPage(const std::string &path, Page page);

    Core::Result<void> start();
    void stop();

    /// Answers one request. Used by the server itself and by tests.
    AdminAnswer answer(const AdminRequest &request) const;

private:
    std::string dump() const;

    Core::Address m_listen;
    Metrics &m_metrics;
    std::map<std::string, Section> m_sections;
    std::map<std::string, Page> m_pages;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

/// Returns the JSON text of an object.
std::string toJsonText(const Poco::JSON::Object::Ptr &object);

}
