/// @file An engine crashes and starts again under its id, after its machine's time of day was set back. Later it leaves in order.

#include "Cases.h"

namespace Review {

namespace {

constexpr const char *Host = "booking.example";
constexpr Milliseconds DrainBound{2000};
constexpr Milliseconds ContactTime{3000};
constexpr Milliseconds ClockStep{2400}; ///< x of clock_step in the site file.
constexpr Milliseconds Deadline{1500};
constexpr Milliseconds WorkTime{110}; ///< The longest of the sheet.
constexpr Milliseconds ALittleLonger{4000}; ///< For which the engine serves on after drainMs.

std::string configuration()
{
    return R"({"version":3,"routes":[{"name":"crew-booking","host":"booking.example","pathPrefix":"/book/","routeKind":"non_idempotent",)"
           R"("service":"booking-desk","timeoutMs":800,"goalMs":100,"priority":2,"maxAttempts":1}],)"
           R"("services":[{"name":"booking-desk","maxConns":96,"healthPath":"/health"}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"gallery","apiKeys":["k-gallery"]}]})";
}

/// Requests that reached an endpoint, with the time of arrival.
struct Arrivals
{
    std::mutex m_mutex;
    std::map<std::string, std::vector<Clock::time_point>> m_times; ///< By endpoint.
};

}

int playDrain(const std::string &recordFile)
{
    Site site(recordFile);
    Arrivals arrivals;
    if (!site.start()) {
        return CouldNotRun;
    }
    site.store().put("keyed.op", "config", configuration());
    const std::vector<std::pair<std::string, std::string>> zones{
        {"flanders-ghent", "flanders"}, {"brussels-ixelles", "brussels"}, {"wallonia-namur", "wallonia"}};
    std::vector<std::unique_ptr<Endpoint>> desks;
    for (int number = 1; number <= 3; ++number) {
        const std::string id = "i-desk" + std::to_string(number);
        const Endpoint::Identity identity{id, "booking-desk", zones[number - 1].first, Address{site.host(3, number), EnginePort}, "", 0, 6};
        const Endpoint::Work work = [&site, &arrivals, id](const std::shared_ptr<Stream> &connection, const Request &request) {
            const std::string attempt = fieldOf(request.m_fields, "X-Attempt-Id");
            {
                const std::lock_guard<std::mutex> lock(arrivals.m_mutex);
                arrivals.m_times[id].push_back(Clock::now());
            }
            site.record().write(id + " runs " + attempt);
            sleepFor(WorkTime);
            return connection->write(encodeAnswer(
                200, {{"X-Attempt-Id", attempt}, {"X-Response-Seal", "s." + attempt}, {"X-Served-By", id}, {"X-Engine-Load", "1,0,6"}}, "booked " + attempt));
        };
        desks.push_back(std::make_unique<Endpoint>(site, identity, work));
    }
    std::vector<std::shared_ptr<Daemon>> entries;
    for (int number = 1; number <= 2; ++number) {
        entries.push_back(site.addEntry(zones[number - 1].first, zones[number - 1].second, number));
        entries.back()->start("target/bin/oriolerail-platform-entry");
    }
    if (!desks[0]->start(unixMilliseconds()) || !desks[2]->start(unixMilliseconds()) || !site.awaitReady(*entries[0], Milliseconds(10000))
        || !site.awaitReady(*entries[1], Milliseconds(10000))) {
        return CouldNotRun;
    }
    sleepFor(Milliseconds(3000));

    std::atomic<bool> isOver{false};
    std::atomic<int> sent{0};
    std::atomic<int> booked{0};
    std::atomic<int> unknown{0};
    std::atomic<bool> hasDrained{false};
    std::atomic<int> lost{0};
    std::vector<std::thread> clients;
    constexpr int clientCount = 16;
    for (int number = 0; number < clientCount; ++number) {
        clients.emplace_back([&, number] {
            for (int count = 0; !isOver; ++count) {
                const std::string attempt = "book" + std::to_string(number) + "-" + std::to_string(count);
                const Request request{"POST",
                                      "/book/crew",
                                      {{"Host", Host},
                                       {"X-Attempt-Id", attempt},
                                       {"X-Request-Deadline", std::to_string(Deadline.count())},
                                       {"Authorization", "Bearer k-gallery"}},
                                      "two installers"};
                const Answer answer = exchange(entries[number % 2]->address(FrontPort), request, Deadline);
                ++sent;
                booked += answer.m_status == 200 && answer.m_isComplete ? 1 : 0;
                const bool isUnknown = answer.m_status == 502 || answer.m_status == 504 || answer.m_status == 0;
                unknown += isUnknown ? 1 : 0;
                lost += isUnknown && hasDrained ? 1 : 0;
                site.record().write("client: " + attempt + " at " + entries[number % 2]->machine().m_name + ": " + answer.describe());
                sleepFor(Milliseconds(40));
            }
        });
    }
    // The second engine's machine has a time of day that is ahead until it is set back. The engine crashes soon after its first start.
    bool isStarted = desks[1]->start(unixMilliseconds() + static_cast<std::uint64_t>(ClockStep.count()));
    sleepFor(Milliseconds(1500));
    desks[1]->crash();
    sleepFor(Milliseconds(500));
    // Without the disruption the time of day is not set back.
    isStarted = isStarted && desks[1]->start(unixMilliseconds() + (hasTrouble() ? 0 : static_cast<std::uint64_t>(ClockStep.count())));
    sleepFor(ContactTime + Milliseconds(5000));

    desks[1]->drain();
    const Clock::time_point acknowledged = Clock::now();
    hasDrained = true;
    sleepFor(DrainBound + ALittleLonger);
    desks[1]->leave();
    sleepFor(Milliseconds(1500));
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    int late = 0;
    int before = 0;
    for (const Clock::time_point &time : arrivals.m_times["i-desk2"]) {
        late += time > acknowledged + DrainBound ? 1 : 0;
        before += time < acknowledged ? 1 : 0;
    }
    site.record().write("check: " + std::to_string(sent) + " sent, " + std::to_string(booked) + " booked, " + std::to_string(unknown)
                        + " without a statement whether they ran; i-desk2 got " + std::to_string(before) + " before it reported draining, "
                        + std::to_string(late) + " later than 2 s after it, and " + std::to_string(lost) + " bookings were lost when it ended");
    desks.clear();
    if (!isStarted || before == 0) {
        return CouldNotRun;
    }
    return late > 0 ? Broken : Held;
}

}
