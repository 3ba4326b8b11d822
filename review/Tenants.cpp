/// @file The operator takes a client account away that is the last one. Afterwards no key is valid any more.

#include "Cases.h"

namespace Review {

namespace {

constexpr const char *Host = "booking.example";
constexpr Milliseconds ConfigBound{2000}; ///< configMs.
constexpr Milliseconds Deadline{1500};
constexpr int RequestsPerKey = 10;

std::string configuration(int version, const std::string &tenants)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"crew-booking","host":"booking.example","pathPrefix":"/book/","routeKind":"non_idempotent","service":"booking-desk",)"
          R"("timeoutMs":800,"goalMs":100,"priority":2,"maxAttempts":1,"public":false}],)"
          R"("services":[{"name":"booking-desk","maxConns":96,"healthPath":"/health"}],)"
          R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":)"
        + tenants + "}";
}

/// What the engines ran.
struct Journal
{
    std::mutex m_mutex;
    std::map<std::string, std::string> m_tenants; ///< X-Tenant by attempt.
};

}

int playTenants(const std::string &recordFile)
{
    Site site(recordFile);
    Journal journal;
    if (!site.start()) {
        return CouldNotRun;
    }
    site.store().put("keyed.op", "config", configuration(3, R"([{"name":"gallery","apiKeys":["k-gallery"]}])"));
    const std::vector<std::pair<std::string, std::string>> zones{
        {"flanders-ghent", "flanders"}, {"brussels-ixelles", "brussels"}, {"wallonia-namur", "wallonia"}};
    std::vector<std::unique_ptr<Endpoint>> desks;
    for (int number = 1; number <= 3; ++number) {
        const std::string id = "i-desk" + std::to_string(number);
        const Endpoint::Identity identity{id, "booking-desk", zones[number - 1].first, Address{site.host(3, number), EnginePort}, "", 0, 6};
        const Endpoint::Work work = [&site, &journal, id](const std::shared_ptr<Stream> &connection, const Request &request) {
            const std::string attempt = fieldOf(request.m_fields, "X-Attempt-Id");
            const std::string tenant = fieldOf(request.m_fields, "X-Tenant");
            {
                const std::lock_guard<std::mutex> lock(journal.m_mutex);
                journal.m_tenants[attempt] = tenant;
            }
            site.record().write(id + " runs " + attempt + ", X-Tenant \"" + tenant + "\"");
            sleepFor(Milliseconds(15));
            return connection->write(encodeAnswer(
                200, {{"X-Attempt-Id", attempt}, {"X-Response-Seal", "s." + attempt}, {"X-Served-By", id}, {"X-Engine-Load", "1,0,6"}}, "booked " + attempt));
        };
        desks.push_back(std::make_unique<Endpoint>(site, identity, work));
        if (!desks.back()->start(unixMilliseconds())) {
            return CouldNotRun;
        }
    }
    std::vector<std::shared_ptr<Daemon>> entries;
    for (int number = 1; number <= 2; ++number) {
        entries.push_back(site.addEntry(zones[number - 1].first, zones[number - 1].second, number));
        entries.back()->start("target/bin/oriolerail-platform-entry");
    }
    if (!site.awaitReady(*entries[0], Milliseconds(10000)) || !site.awaitReady(*entries[1], Milliseconds(10000))) {
        return CouldNotRun;
    }
    sleepFor(Milliseconds(6000)); // Longer than contactMs.

    // Returns how many of the requests with the key were run.
    const std::function<int(const std::string &, const std::string &)> sendAll = [&](const std::string &phase, const std::string &key) {
        int run = 0;
        for (int number = 0; number < RequestsPerKey; ++number) {
            const Daemon &entry = *entries[number % 2];
            const std::string attempt = phase + "-" + key + "-" + std::to_string(number);
            const Request request{
                "POST",
                "/book/crew",
                {{"Host", Host}, {"X-Attempt-Id", attempt}, {"X-Request-Deadline", std::to_string(Deadline.count())}, {"Authorization", "Bearer " + key}},
                "two installers"};
            const Answer answer = exchange(entry.address(FrontPort), request, Deadline);
            site.record().write("client: " + attempt + " at " + entry.machine().m_name + ": " + answer.describe());
            const std::lock_guard<std::mutex> lock(journal.m_mutex);
            run += journal.m_tenants.contains(attempt) ? 1 : 0;
        }
        return run;
    };
    const int allowed = sendAll("before", "k-gallery");
    const int refused = sendAll("before", "k-never-held");

    // Without the disruption the account stays, without keys.
    site.store().put("keyed.op", "config", configuration(7, hasTrouble() ? "[]" : R"([{"name":"gallery","apiKeys":[]}])"));
    site.record().write("operator: configuration 7 is acknowledged, it holds no key");
    sleepFor(ConfigBound + Milliseconds(1000));
    const int dropped = sendAll("after", "k-gallery");
    const int foreign = sendAll("after", "k-never-held");
    site.record().write("check: before, " + std::to_string(allowed) + " of " + std::to_string(RequestsPerKey) + " run with the key of the account and "
                        + std::to_string(refused) + " with a key that no configuration ever held; 3 s after the acknowledgement, " + std::to_string(dropped)
                        + " with the dropped key and " + std::to_string(foreign) + " with a key that no configuration ever held");
    desks.clear();
    if (allowed != RequestsPerKey || refused != 0) {
        return CouldNotRun;
    }
    return foreign > 0 ? Broken : Held;
}

}
