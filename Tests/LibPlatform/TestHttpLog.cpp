/// @file Clients of the log service and the instance list, tested over HTTP against the stand-in.

#include "LibNetwork/Listener.h"
#include "LibPlatform/HttpExchange.h"
#include "LibPlatform/HttpInstanceList.h"
#include "LibPlatform/HttpLog.h"
#include "LibStandInLog/LogService.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

namespace {

/// The stand-in log service on a free address.
struct Service
{
    StandIn::LogServiceSettings m_settings;
    std::unique_ptr<StandIn::LogService> m_service;
    StandIn::HttpServer m_server{16};

    explicit Service(double appendsPerSecond = 500)
    {
        m_settings.m_listen = Network::freeLoopbackAddress();
        m_settings.m_listLag = Core::Duration(0);
        m_settings.m_log.m_appendsPerSecond = appendsPerSecond;
        m_service = std::make_unique<StandIn::LogService>(m_settings);
        REQUIRE(m_server.listen(m_settings.m_listen, [this](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
            m_service->handle(request, response);
        }));
    }

    ~Service()
    {
        m_service->stop();
        m_server.stop();
    }

    void send(const std::string &method, const std::string &target, const std::string &body)
    {
        Platform::HttpRequest request;
        request.m_method = method;
        request.m_target = target;
        request.m_body = body;
        REQUIRE(Platform::exchangeHttp({}, m_settings.m_listen, request).value().m_status < 300);
    }
};

}

TEST_CASE("Records are returned in order from any offset, and a waiting read returns with the next record")
{
    Service service;
    Platform::HttpLog log({}, service.m_settings.m_listen);
    REQUIRE(log.append("control", "one").value() == 1);
    REQUIRE(log.append("control", std::string(1 << 20, 'x')).value() == 2);
    const Platform::LogPage page = log.read("control", 1, Platform::ReadOptions{}).value();
    REQUIRE(page.m_first == 1);
    REQUIRE(page.m_next == 3);
    REQUIRE(page.m_records.size() == 2);
    REQUIRE(page.m_records.front() == Protocol::LogRecord{1, "one"});
    std::thread writer([&log] { REQUIRE(log.append("control", "three")); });
    const Platform::LogPage waited = log.read("control", 3, Platform::ReadOptions{10, Core::Duration(20000)}).value();
    writer.join();
    REQUIRE(waited.m_records == std::vector<Protocol::LogRecord>{{3, "three"}});
}

TEST_CASE("A read of expired records reports the oldest offset instead of an empty log")
{
    Service service;
    Platform::HttpLog log({}, service.m_settings.m_listen);
    for (int number = 0; number < 5; ++number) {
        REQUIRE(log.append("control", "record"));
    }
    service.send("POST", "/faults", R"({"expire_records_before": 4})");
    const Platform::LogPage page = log.read("control", 2, Platform::ReadOptions{}).value();
    REQUIRE(page.m_first == 4);
    REQUIRE(page.m_next == 6);
    REQUIRE(page.m_records.empty());
}

TEST_CASE("An append whose answer is lost is ambiguous, and a refused append is not")
{
    // The service appends the record and the connection breaks before the answer. If that were reported as a failure, the caller would append a second
    // time. If it is reported as ambiguous, the caller reads the log first.
    Service service(1);
    Platform::HttpLog log({}, service.m_settings.m_listen);
    service.send("POST", "/faults", R"({"lose_answers": true})");
    REQUIRE(log.append("control", "lost").error().m_code == Core::ErrorCode::Ambiguous);
    REQUIRE(log.read("control", 1, Platform::ReadOptions{}).value().m_records.size() == 1);
    service.send("POST", "/faults", R"({"lose_answers": false})");
    REQUIRE(log.append("control", "too fast").error().m_code == Core::ErrorCode::Overloaded);
    service.send("POST", "/faults", R"({"down": true})");
    REQUIRE(log.append("control", "down").error().m_code == Core::ErrorCode::Unavailable);
    REQUIRE(log.read("control", 1, Platform::ReadOptions{}).error().m_code == Core::ErrorCode::Unavailable);
    Platform::HttpLog unreachable({}, Network::freeLoopbackAddress());
    REQUIRE(unreachable.append("control", "nobody").error().m_code == Core::ErrorCode::Unavailable);
    REQUIRE(unreachable.append("control", std::string(Platform::MaximumRecordBytes + 1, 'x')).error().m_code == Core::ErrorCode::InvalidInput);
}

TEST_CASE("The instance list is read completely, and a partial list is an error")
{
    Service service;
    service.send("PUT",
                 "/instances/hcm-a-m01",
                 R"({"address":"127.1.1.1:7000","role":"agent","service":"drafts","region":"hcm","failure_domain":"hcm-a","state":"leaving"})");
    Platform::HttpInstanceList list({}, service.m_settings.m_listen);
    const std::vector<Protocol::Member> members = list.instances().value();
    REQUIRE(members.size() == 1);
    REQUIRE(members.front().m_id == "hcm-a-m01");
    REQUIRE(members.front().m_role == Protocol::Role::Agent);
    REQUIRE(members.front().m_leaving);
    service.send("DELETE", "/instances/hcm-a-m01", "");
    REQUIRE(list.instances().value().empty());
    service.send("POST", "/faults", R"({"list_down": true})");
    REQUIRE_FALSE(list.instances());
    REQUIRE_FALSE(Platform::parseInstanceList(R"({"instances":[{"id":"a","address":"127.0.0.1:1","role":"agent"},{"id":"b"}]})", "list"));
    REQUIRE_FALSE(Platform::parseInstanceList(std::string(5000, '['), "list"));
}
