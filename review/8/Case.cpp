/// @file Case 8: entries are stopped while an engine is cold, and those that leave go on using parts that the others have taken over.

#include "../4/StandIns.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

namespace {

constexpr unsigned Entries = 3;
constexpr unsigned Stopped = 2; ///< At the same time.
constexpr double ColdTime = 3; ///< coldS.
constexpr double ColdPerSecond = 26; ///< coldPerS.
constexpr double ColdExcess = 1.5;
constexpr double ColdSlack = 5;
constexpr double StoppedAfter = 0.3; ///< Of the cold time.
constexpr double AnswerLifetime = 2; ///< ttlS of the directory.
constexpr unsigned Clients = 30; ///< More than the warm engine serves at once.
constexpr double RequestPause = 0.04; ///< Between two requests of a client.
constexpr double WorkTime = 0.06; ///< Of a request at an engine.
constexpr unsigned Slots = 12;

std::string seeds()
{
    return "[\"" + Kit::hostOf(1, 1) + ":8000\",\"" + Kit::hostOf(1, 2) + ":8000\",\"" + Kit::hostOf(1, 3) + ":8000\"]";
}

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-1","host":"jepu9.example","pathPrefix":"/read/","routeKind":"idempotent","timeoutMs":3000,"goalMs":300,)"
           R"("priority":1,"service":"desk","maxAttempts":2,"public":false}],"services":[{"name":"desk","healthPath":"/health","maxConns":707,)"
           R"("protocol":"h1","tls":false,"coldS":3.0,"coldPerS":26.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"bozi300","apiKeys":["key-1"]}]})";
}

/// Returns the addresses of entries that the directory names; empty if the entry does not answer.
std::vector<std::string> askDirectory(const std::string &entry)
{
    std::vector<std::string> hosts;
    const int descriptor = Kit::dial(entry, 8009, 1);
    if (descriptor < 0) {
        return hosts;
    }
    Kit::Peer peer(descriptor);
    peer.setTimeout(1);
    peer.send("GET /oriolerail/resolve?name=jepu9.example&region=hcm&zone=hcm-a HTTP/1.1\r\nHost: directory\r\n\r\n");
    const std::optional<Kit::Message> reply = peer.read(false);
    for (unsigned member = 1; reply && reply->m_status == 200 && member <= Entries; ++member) {
        const std::string host = Kit::hostOf(1, member);
        if (reply->m_body.find("\"" + host + ":8005\"") != std::string::npos) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

/// A client that asks the directory as often as its answers say, and uses the entries of the last answer.
void runClient(unsigned index)
{
    std::vector<std::string> hosts;
    double askedAt = Kit::now() - AnswerLifetime * index / Clients;
    for (unsigned turn = index;; ++turn) {
        if (hosts.empty() || Kit::now() - askedAt >= AnswerLifetime) {
            const std::vector<std::string> first = askDirectory(Kit::hostOf(1, 1 + index % Entries));
            const std::vector<std::string> answer = first.empty() ? askDirectory(Kit::hostOf(1, 1 + (index + 1) % Entries)) : first;
            hosts = answer.empty() ? hosts : answer;
            askedAt = hosts.size() == Entries && turn == index ? askedAt : Kit::now();
        }
        if (hosts.empty()) {
            Kit::pause(RequestPause);
            continue;
        }
        const std::string fields = "Host: jepu9.example\r\nX-Attempt-Id: " + Kit::freshId() + "\r\nX-Request-Deadline: 3000\r\nAuthorization: Bearer key-1\r\n";
        const Kit::Outcome outcome = Kit::call(hosts[turn % hosts.size()], "GET", "/read/1", fields, "");
        if (!outcome.m_isServed) {
            Kit::record("client: answered " + std::to_string(outcome.m_status));
        }
        Kit::pause(RequestPause);
    }
}

}

int main(int argc, char **argv)
{
    if (argc < 3) {
        return 2;
    }
    const std::string programs = argv[1];
    const bool hasTrouble = std::string(argv[2]) != "0";
    std::signal(SIGPIPE, SIG_IGN);
    Kit::openRecord("record.txt");
    Kit::Store store(Kit::hostOf(3, 1), 8007);
    store.put("keyed.op", "config", configuration());
    Kit::Desk warm(store, {"i-warm", "hcm-a", Kit::hostOf(2, 1), Slots, WorkTime});
    warm.start(0);
    std::vector<std::unique_ptr<Kit::Process>> entries;
    for (unsigned member = 1; member <= Entries; ++member) {
        const std::string name = "edge-hcm-a-" + std::to_string(member);
        const std::string settings = Kit::entrySettings(name, "hcm-a", Kit::hostOf(1, member), seeds(), Kit::hostOf(3, 1) + ":8007");
        entries.push_back(std::make_unique<Kit::Process>(programs + "/oriolerail-platform-entry", settings, name));
        entries.back()->start();
    }
    Kit::pause(10);
    for (unsigned index = 0; index < Clients; ++index) {
        std::thread(runClient, index).detach();
    }
    Kit::pause(4);
    Kit::Desk added(store, {"i-added", "hcm-a", Kit::hostOf(2, 2), Slots, WorkTime});
    added.start(ColdTime);
    if (hasTrouble) {
        Kit::pause(StoppedAfter);
        for (unsigned index = 0; index < Stopped; ++index) {
            entries[index]->signal(SIGTERM);
        }
    }
    Kit::pause(6);
    const std::size_t busiest = added.busiestColdSecond();
    const double bound = ColdPerSecond * ColdExcess + ColdSlack;
    Kit::record("the cold engine got " + std::to_string(busiest) + " requests in its busiest second, allowed are " + std::to_string(bound));
    if (busiest == 0) {
        Kit::record("could not run: the added engine got nothing");
        Kit::finish(2);
    }
    const bool isBroken = static_cast<double>(busiest) > bound;
    Kit::record(isBroken ? "FAILBACK is broken" : "FAILBACK held");
    Kit::finish(isBroken ? 1 : 0);
}
