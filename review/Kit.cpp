/// @file Implementation of the stand-ins and of the processes under test.

#include "Kit.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

constexpr Milliseconds HeartbeatInterval{1200};

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>(number >> static_cast<unsigned>(shift) & 0xFFU));
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    constexpr const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = group << 8U | (index + byte < bytes.size() ? static_cast<unsigned char>(bytes[index + byte]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += index + digit > bytes.size() ? '=' : digits[group >> (18U - 6U * digit) & 63U];
        }
    }
    return text;
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

}

Record::Record(const std::string &file)
    : m_file(file)
{
}

double Record::now() const
{
    return std::chrono::duration<double>(Clock::now() - m_start).count();
}

void Record::write(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", now());
    m_file << time << line << std::endl;
}

Store::Store(const Address &address)
    : m_server(address, [this](const std::shared_ptr<Stream> &stream, const Request &request) { return handle(*stream, request); })
{
}

Store::~Store()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isStopping = true;
    m_changed.notify_all();
}

bool Store::start()
{
    return m_server.start();
}

void Store::put(const std::string &topic, const std::string &key, std::optional<std::string> value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_topics[topic].push_back(Entry{key, std::move(value)});
    m_changed.notify_all();
}

std::string Store::read(const std::string &topic, std::uint64_t from)
{
    const std::vector<Entry> &entries = m_topics[topic];
    std::string body = bigEndian(entries.size(), 8) + bigEndian(0, 8);
    for (std::uint64_t offset = from; offset < entries.size(); ++offset) {
        const std::string content = bigEndian(entries[offset].m_key.size(), 1) + entries[offset].m_key + entries[offset].m_value.value_or("");
        body += bigEndian(content.size(), 4) + content;
    }
    return body;
}

std::string Store::newest(const std::string &topic)
{
    const std::vector<Entry> &entries = m_topics[topic];
    std::map<std::string, std::size_t> offsets;
    for (std::size_t offset = 0; offset < entries.size(); ++offset) {
        offsets[entries[offset].m_key] = offset;
    }
    std::string items;
    for (const std::pair<const std::string, std::size_t> &entry : offsets) {
        const std::optional<std::string> &value = entries[entry.second].m_value;
        if (value) {
            items += (items.empty() ? "" : ",") + std::string("{\"key\":") + quoted(entry.first) + ",\"value\":" + quoted(base64(*value))
                + ",\"offset\":" + std::to_string(entry.second) + "}";
        }
    }
    return "{\"items\":[" + items + "],\"hasMore\":false,\"end\":" + std::to_string(entries.size()) + "}";
}

bool Store::handle(Stream &stream, const Request &request)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const std::string topic = request.query("topic");
    if (request.path() == "/oriolerail/log-newest") {
        const bool isKnown = m_topics.contains(topic);
        return stream.write(isKnown ? encodeAnswer(200, {{"Content-Type", "application/json"}}, newest(topic)) : encodeAnswer(404, {}, "{}"));
    }
    if (request.path() != "/oriolerail/log-read") {
        return stream.write(encodeAnswer(503, {}, "{}"));
    }
    const std::uint64_t from = std::strtoull(request.query("from").c_str(), nullptr, 10);
    const Milliseconds wait(std::atoi(request.query("waitMs").c_str()));
    m_changed.wait_for(lock, wait, [this, &topic, from] { return m_isStopping || m_topics[topic].size() > from; });
    const std::string body = read(topic, from);
    lock.unlock();
    return stream.write(encodeAnswer(200, {}, body));
}

Daemon::Daemon(std::string folder, Machine machine)
    : m_folder(std::move(folder))
    , m_machine(std::move(machine))
{
}

Daemon::~Daemon()
{
    if (m_process > 0 && !poll()) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

void Daemon::writeSettings(const std::string &templateFile, const std::map<std::string, std::string> &values)
{
    std::string text = readFile(templateFile);
    // Sections are about bounds that small deployments do not have.
    while (true) {
        const std::size_t begin = text.find("{{#");
        if (begin == std::string::npos) {
            break;
        }
        const std::string name = text.substr(begin + 3, text.find("}}", begin) - begin - 3);
        const std::string end = "{{/" + name + "}}";
        text.erase(begin, text.find(end, begin) + end.size() - begin);
    }
    for (const std::pair<const std::string, std::string> &value : values) {
        const std::string placeholder = "{{" + value.first + "}}";
        for (std::size_t at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value.second);
        }
    }
    std::ofstream(m_folder + "/" + m_machine.m_name + ".yaml") << text;
}

void Daemon::start(const std::string &program)
{
    const std::string settings = m_folder + "/" + m_machine.m_name + ".yaml";
    const std::string log = m_folder + "/" + m_machine.m_name + ".log";
    m_status.reset();
    m_process = ::fork();
    if (m_process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::setenv("ORIOLERAIL_CONFIG", settings.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }
}

void Daemon::signal(int number)
{
    if (m_process > 0 && !poll()) {
        ::kill(m_process, number);
    }
}

std::optional<int> Daemon::poll()
{
    int status = 0;
    if (!m_status && m_process > 0 && ::waitpid(m_process, &status, WNOHANG) == m_process) {
        m_status = status;
    }
    return m_status;
}

std::uint64_t Daemon::memory() const
{
    constexpr std::uint64_t bytesPerKilobyte = 1024;
    std::ifstream stream("/proc/" + std::to_string(m_process) + "/status");
    std::string line;
    while (std::getline(stream, line)) {
        if (line.starts_with("RssAnon:")) {
            return std::strtoull(line.c_str() + 8, nullptr, 10) * bytesPerKilobyte;
        }
    }
    return 0;
}

Site::Site(const std::string &recordFile)
    : m_record(recordFile)
    , m_network(1 + static_cast<int>(::getpid() % 250))
    , m_folder([] {
        std::string name = (std::filesystem::temp_directory_path() / "oriolerail-review-XXXXXX").string();
        return std::string(::mkdtemp(name.data()));
    }())
    , m_store(Address{host(9, 1), StorePort})
{
    std::signal(SIGPIPE, SIG_IGN);
}

Site::~Site()
{
    m_daemons.clear();
    if (!std::getenv("KEEP")) {
        std::filesystem::remove_all(m_folder);
    } else {
        std::cerr << m_folder << std::endl;
    }
}

std::string Site::host(int group, int number) const
{
    return "127." + std::to_string(m_network) + "." + std::to_string(group) + "." + std::to_string(number);
}

bool Site::start()
{
    return m_store.start();
}

std::map<std::string, std::string> Site::commonValues(const Machine &machine) const
{
    return {{"node", machine.m_name},
            {"zone", machine.m_zone},
            {"region", machine.m_region},
            {"ip", machine.m_host},
            {"zones|json", R"({"flanders-ghent":"flanders","brussels-ixelles":"brussels","wallonia-namur":"wallonia"})"},
            {"listen.front", Address{machine.m_host, FrontPort}.toString()},
            {"listen.ready", Address{machine.m_host, ReadyPort}.toString()},
            {"listen.directory", Address{machine.m_host, DirectoryPort}.toString()},
            {"internalPorts.0", std::to_string(InternalPort)},
            {"internalPorts.1", std::to_string(InternalPort + 15)},
            {"seedAddrs|json", "[" + quoted(Address{host(1, 1), ControlPort}.toString()) + "," + quoted(Address{host(1, 2), ControlPort}.toString()) + "]"},
            {"bootstrap", "true"},
            {"platform.address", Address{host(9, 1), StorePort}.toString()},
            {"limits.linkMbps", "9.4"},
            {"bounds.graceS", "8"},
            {"bounds.version_ms", "8000"},
            {"bounds.retryRatio", "0.2"},
            {"bounds.retrySlack", "200"},
            {"bounds.retryWindowS", "10"}};
}

std::shared_ptr<Daemon> Site::addEntry(const std::string &zone, const std::string &region, int number)
{
    const Machine machine{"edge-" + zone + "-" + std::to_string(number), zone, region, host(1, number)};
    m_daemons.push_back(std::make_shared<Daemon>(m_folder, machine));
    m_daemons.back()->writeSettings("deploy/entry.yaml", commonValues(machine));
    return m_daemons.back();
}

std::shared_ptr<Daemon> Site::addAgent(const std::string &zone, const std::string &region, int number, const std::string &service)
{
    const Machine machine{"side-" + zone + "-" + std::to_string(number), zone, region, host(2, number)};
    std::map<std::string, std::string> values = commonValues(machine);
    values["app"] = Address{machine.m_host, EnginePort}.toString();
    values["service"] = service;
    m_daemons.push_back(std::make_shared<Daemon>(m_folder, machine));
    m_daemons.back()->writeSettings("deploy/agent.yaml", values);
    return m_daemons.back();
}

bool Site::awaitReady(const Daemon &entry, Milliseconds timeout)
{
    const Clock::time_point deadline = Clock::now() + timeout;
    while (Clock::now() < deadline) {
        if (exchange(entry.address(ReadyPort), Request{"GET", "/oriolerail/ready", {{"Host", "platform"}}, ""}, Milliseconds(500)).m_status == 200) {
            return true;
        }
        sleepFor(Milliseconds(100));
    }
    return false;
}

std::vector<Address> Site::resolve(const Daemon &entry, const std::string &name)
{
    const Machine &machine = entry.machine();
    const std::string target = "/oriolerail/resolve?name=" + name + "&region=" + machine.m_region + "&zone=" + machine.m_zone;
    const Answer answer = exchange(entry.address(DirectoryPort), Request{"GET", target, {{"Host", "directory"}}, ""}, Milliseconds(1000));
    std::vector<Address> addresses;
    std::size_t at = answer.m_body.find('[');
    while (at != std::string::npos && answer.m_body[at] != ']') {
        const std::size_t begin = answer.m_body.find('"', at);
        const std::size_t end = begin == std::string::npos ? begin : answer.m_body.find('"', begin + 1);
        if (end == std::string::npos || answer.m_body.find(']', at) < begin) {
            break;
        }
        const std::string text = answer.m_body.substr(begin + 1, end - begin - 1);
        addresses.push_back(Address{text.substr(0, text.find(':')), static_cast<std::uint16_t>(std::atoi(text.substr(text.find(':') + 1).c_str()))});
        at = end + 1;
    }
    return addresses;
}

Endpoint::Endpoint(Site &site, Identity identity, Work work)
    : m_site(site)
    , m_identity(std::move(identity))
    , m_work(std::move(work))
{
}

Endpoint::~Endpoint()
{
    crash();
}

void Endpoint::writeRecord()
{
    std::string document = "{\"service\":" + quoted(m_identity.m_service) + ",\"address\":" + quoted(m_identity.m_address.toString())
        + ",\"zone\":" + quoted(m_identity.m_zone) + ",\"version\":\"1.4\",\"slots\":" + std::to_string(m_identity.m_slots)
        + ",\"state\":" + (m_isDraining ? quoted("draining") : quoted("ready")) + ",\"coldLeftMs\":0,\"seq\":" + std::to_string(++m_beats)
        + ",\"born\":" + std::to_string(m_born);
    if (!m_identity.m_model.empty()) {
        document += ",\"stage\":\"both\",\"models\":[{\"name\":" + quoted(m_identity.m_model) + ",\"version\":1,\"adapters\":[]}]";
        document += ",\"layers\":[{\"from\":0,\"target\":" + std::to_string(m_identity.m_layers) + ",\"version\":1}]";
    }
    m_site.store().put("keyed.servers", m_identity.m_id, document + "}");
}

std::string Endpoint::reportBody() const
{
    return "{\"stage\":\"both\",\"models\":[{\"name\":" + quoted(m_identity.m_model) + ",\"version\":1,\"adapters\":[]}],\"layers\":[{\"from\":0,\"target\":"
        + std::to_string(m_identity.m_layers) + ",\"version\":1}],\"busy\":false,\"seq\":0,\"numWaiting\":0,\"numRunning\":" + std::to_string(m_working.load())
        + ",\"kvUsed\":0,\"kvTotal\":317000,\"handles\":0,\"pace\":1,\"born\":" + std::to_string(m_born) + "}";
}

bool Endpoint::start(std::uint64_t born)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_born = born;
    m_beats = 0;
    m_isDraining = false;
    m_server = std::make_unique<Server>(m_identity.m_address,
                                        [this](const std::shared_ptr<Stream> &stream, const Request &request) { return handle(stream, request); });
    if (!m_server->start()) {
        return false;
    }
    m_isRunning = true;
    writeRecord();
    m_site.record().write("endpoint " + m_identity.m_id + " starts, born " + std::to_string(m_born) + ", record written");
    m_heartbeat = std::thread([this] {
        std::unique_lock<std::mutex> beating(m_mutex);
        while (!m_stopped.wait_for(beating, HeartbeatInterval, [this] { return !m_isRunning; })) {
            writeRecord();
        }
    });
    return true;
}

void Endpoint::crash()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_isRunning) {
            return;
        }
        m_isRunning = false;
        m_stopped.notify_all();
    }
    m_heartbeat.join();
    m_server->stop();
    m_site.record().write("endpoint " + m_identity.m_id + " ends");
}

void Endpoint::drain()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isDraining = true;
    writeRecord();
    m_site.record().write("endpoint " + m_identity.m_id + " reports draining, the store has accepted it");
}

void Endpoint::leave()
{
    crash();
    m_site.store().put("keyed.servers", m_identity.m_id, std::nullopt);
    m_site.record().write("endpoint " + m_identity.m_id + " has left, its record is removed");
}

bool Endpoint::handle(const std::shared_ptr<Stream> &stream, const Request &request)
{
    if (request.path() == "/oriolerail/report") {
        return stream->write(encodeAnswer(200, {{"Content-Type", "application/json"}}, reportBody()));
    }
    if (request.path().starts_with("/oriolerail/stage-get/")) {
        return stream->write(encodeAnswer(200, {{"Content-Type", "application/json"}}, "{\"held\":[]}"));
    }
    const std::string expected = fieldOf(request.m_fields, "X-Expect-Instance");
    if (!expected.empty() && expected != m_identity.m_id) {
        return stream->write(encodeAnswer(421, {{"X-Served-By", m_identity.m_id}}, ""));
    }
    ++m_working;
    const bool goesOn = m_work(stream, request);
    --m_working;
    return goesOn;
}

std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

void sleepFor(Milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

}
