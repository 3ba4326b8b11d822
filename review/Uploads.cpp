/// @file Callers send bodies within the limit of the configuration and keep their connections, while the platform watches the memory of the entries.

#include "Cases.h"

#include <csignal>

namespace Review {

namespace {

constexpr const char *Host = "booking.example";
constexpr std::uint64_t MemoryLimit = 182ULL << 20U; ///< memoryMb of an entry's machine, with the larger reading of a megabyte.
constexpr std::size_t BodyBytes = 4194304; ///< maxBodyBytes of the configuration.
constexpr int UsualUploaders = 28; ///< As many as a zone of the sheet has.
constexpr int BurstUploaders = 19; ///< More come at once: 1.7 times as many altogether.
constexpr Milliseconds UsualTime{8000};
constexpr Milliseconds BurstTime{3000};
constexpr Milliseconds Deadline{1500};
constexpr Milliseconds WorkTime{110}; ///< The longest of the sheet.
constexpr int SmallClients = 10;
constexpr int AllowedLost = 3;

std::string configuration()
{
    return R"({"version":3,"routes":[{"name":"crew-booking","host":"booking.example","pathPrefix":"/book/","routeKind":"non_idempotent",)"
           R"("service":"booking-desk","timeoutMs":800,"goalMs":100,"priority":2,"maxAttempts":1}],)"
           R"("services":[{"name":"booking-desk","maxConns":96,"healthPath":"/health"}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"gallery","apiKeys":["k-gallery"]}]})";
}

Request booking(const std::string &attempt, std::size_t bytes)
{
    return Request{"POST",
                   "/book/crew",
                   {{"Host", Host}, {"X-Attempt-Id", attempt}, {"X-Request-Deadline", std::to_string(Deadline.count())}, {"Authorization", "Bearer k-gallery"}},
                   std::string(bytes, 'w')};
}

/// What the engines ran.
struct Journal
{
    std::mutex m_mutex;
    std::map<std::string, int> m_runs; ///< By attempt.
};

}

int playUploads(const std::string &recordFile)
{
    Site site(recordFile);
    Journal journal;
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
        const Endpoint::Work work = [&site, &journal, id](const std::shared_ptr<Stream> &connection, const Request &request) {
            const std::string attempt = fieldOf(request.m_fields, "X-Attempt-Id");
            {
                const std::lock_guard<std::mutex> lock(journal.m_mutex);
                ++journal.m_runs[attempt];
            }
            site.record().write(id + " runs " + attempt + ", " + std::to_string(request.m_body.size()) + " B");
            sleepFor(WorkTime);
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
    Daemon &entry = *entries[0];
    site.record().write("entry: " + std::to_string(entry.memory() >> 10U) + " KiB before the uploads");

    std::atomic<bool> isOver{false};
    std::atomic<int> lost{0};
    std::atomic<int> answered{0};
    std::atomic<std::uint64_t> peak{0};
    std::atomic<bool> isKilled{false};
    // The platform ends a process that exceeds its memory.
    std::thread platform([&] {
        while (!isOver) {
            const std::uint64_t memory = entry.memory();
            peak = std::max<std::uint64_t>(peak, memory);
            if (memory > MemoryLimit && !isKilled) {
                entry.signal(SIGKILL);
                isKilled = true;
                site.record().write("platform: the process has " + std::to_string(memory >> 10U) + " KiB, more than its limit, and is killed");
            }
            sleepFor(Milliseconds(5));
        }
    });
    // Returns whether the connection can be used again.
    const std::function<bool(const std::shared_ptr<Stream> &, const std::string &, std::size_t, bool)> book =
        [&](const std::shared_ptr<Stream> &connection, const std::string &attempt, std::size_t bytes, bool isKept) {
            Answer answer;
            if (connection && connection->write(encodeRequest(booking(attempt, bytes)))) {
                answer = readAnswer(*connection, Clock::now() + Deadline);
            }
            answered += answer.m_status == 200 && answer.m_isComplete ? 1 : 0;
            site.record().write("client: " + attempt + (isKept ? " on a kept connection, " : " on a new connection, ") + std::to_string(bytes)
                                + " B: " + answer.describe());
            const bool isClosed = answer.m_status == 0 && (answer.m_end == Stream::End::Closed || answer.m_end == Stream::End::Reset);
            const std::lock_guard<std::mutex> lock(journal.m_mutex);
            if (isKept && isClosed && journal.m_runs.contains(attempt)) {
                ++lost;
                site.record().write("check: LOST " + attempt + ", an engine ran it and its connection was closed without an answer");
            }
            return answer.m_status == 200 && answer.m_isComplete;
        };
    std::vector<std::thread> clients;
    for (int number = 0; number < SmallClients; ++number) {
        clients.emplace_back([&, number] {
            std::shared_ptr<Stream> connection;
            for (int count = 0; !isOver && !isKilled; ++count) {
                const bool isKept = connection != nullptr;
                connection = isKept ? connection : dial(entry.address(FrontPort), Milliseconds(1000));
                if (!book(connection, "small" + std::to_string(number) + "-" + std::to_string(count), 600, isKept)) {
                    connection.reset();
                }
            }
        });
    }
    sleepFor(Milliseconds(500));
    // Each client sends one large booking and keeps its connection for a later request, as it may for four fifths of idleTimeoutMs.
    std::vector<std::shared_ptr<Stream>> idle;
    const std::function<void(int, Milliseconds)> upload = [&](int count, Milliseconds time) {
        for (int number = 0; number < count && !isKilled; ++number) {
            const Clock::time_point next = Clock::now() + time / count;
            const std::string attempt = "upload" + std::to_string(idle.size());
            idle.push_back(dial(entry.address(FrontPort), Milliseconds(1000)));
            clients.emplace_back([&, attempt, connection = idle.back()] { book(connection, attempt, BodyBytes, false); });
            std::this_thread::sleep_until(next);
        }
    };
    upload(UsualUploaders, UsualTime);
    site.record().write("entry: " + std::to_string(entry.memory() >> 10U) + " KiB with " + std::to_string(idle.size()) + " kept connections");
    if (hasTrouble()) {
        site.record().write("clients: a burst of " + std::to_string(BurstUploaders) + " more");
        upload(BurstUploaders, BurstTime);
    }
    sleepFor(Milliseconds(2000));
    site.record().write("entry: " + std::to_string(entry.memory() >> 10U) + " KiB with " + std::to_string(idle.size()) + " kept connections, all idle");
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    platform.join();
    site.record().write("check: " + std::to_string(answered) + " answered, peak " + std::to_string(peak >> 10U) + " KiB of "
                        + std::to_string(MemoryLimit >> 10U) + " KiB, " + (isKilled ? "killed" : "not killed") + ", " + std::to_string(lost) + " lost");
    idle.clear();
    desks.clear();
    return lost > AllowedLost ? Broken : Held;
}

}
