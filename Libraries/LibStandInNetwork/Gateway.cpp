/// @file Implementation of the gateway: one epoll loop for all connections.

#include "LibStandInNetwork/Gateway.h"

#include "LibJson/Json.h"
#include "LibNetwork/Listener.h"
#include "LibNetwork/NonBlocking.h"

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace StandIn {

namespace {

constexpr std::uint64_t ListenerTag = 0;
constexpr std::uint64_t WakeTag = 1;
constexpr std::size_t ClientSide = 0;
constexpr std::size_t TargetSide = 1;
constexpr int EventsPerIteration = 512;
constexpr int AcceptsPerIteration = 128;
constexpr int ReadsPerEvent = 4;
constexpr int ListenBacklog = 4096;
constexpr std::size_t ReadBytes = LinkShaper::QuantumBytes;
constexpr std::size_t MaximumHeadBytes = 8192;
constexpr std::size_t MaximumBodyBytes = 1 << 20;
/// Maximum number of bytes of a flow that wait for a link. Further bytes stay in the sender's socket.
constexpr std::size_t MaximumUngrantedBytes = 2 * LinkShaper::QuantumBytes;
/// Maximum number of bytes of a flow in total, including those delayed by the latency and those that the receiver does not accept yet.
constexpr std::size_t MaximumFlowBytes = 262144;
/// Limits the kernel's buffers. Otherwise they would hold megabytes before a slow link, and a heartbeat would wait seconds behind a
/// transfer.
constexpr int ReceiveBufferBytes = 65536;
constexpr int SendBufferBytes = 262144;
/// Maximum TCP segment size. It must be small compared to the buffer, otherwise a small window stalls the sender.
constexpr int SegmentBytes = 8192;
constexpr std::chrono::milliseconds MaximumWait{200};
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view Established = "HTTP/1.1 200 Connection established\r\n\r\n";

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusBadGateway = 502;

void limitBuffers(Poco::Net::Socket &socket)
{
    socket.setReceiveBufferSize(ReceiveBufferBytes);
    socket.setOption(IPPROTO_TCP, TCP_MAXSEG, SegmentBytes);
}

}

Gateway::Gateway(GatewaySettings settings)
    : m_settings(std::move(settings))
    , m_topology(m_settings, m_shaper, Core::Clock::now())
    , m_random(m_settings.m_seed)
    , m_readBuffer(ReadBytes)
{
    for (const HostLocation &location : m_settings.m_hosts) {
        m_hostBytes[location.m_host] = HostBytes{};
    }
    m_epoll = ::epoll_create1(EPOLL_CLOEXEC);
    m_wakeDescriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
}

Gateway::~Gateway()
{
    stop();
    ::close(m_wakeDescriptor);
    ::close(m_epoll);
}

Core::Result<void> Gateway::start()
{
    try {
        m_listener.emplace(Network::listenOn(m_settings.m_listen, ListenBacklog));
        m_listener->setBlocking(false);
        limitBuffers(*m_listener);
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Unavailable, "listen", m_settings.m_listen.toString(), exception.displayText());
    }
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = ListenerTag;
    ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_listener->impl()->sockfd(), &event);
    event.data.u64 = WakeTag;
    ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeDescriptor, &event);
    m_running = true;
    m_thread = std::thread([this] { run(); });
    return Core::success();
}

void Gateway::stop()
{
    if (!m_running.exchange(false)) {
        return;
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(m_wakeDescriptor, &one, sizeof(one));
    m_thread.join();
    m_connections.clear();
    m_listener.reset();
}

void Gateway::run()
{
    std::array<epoll_event, EventsPerIteration> events;
    while (m_running) {
        const timespec wait = timeToNextWake(Core::Clock::now());
        const int count = ::epoll_pwait2(m_epoll, events.data(), EventsPerIteration, &wait, nullptr);
        for (int index = 0; index < count; ++index) {
            const epoll_event &event = events.at(static_cast<std::size_t>(index));
            if (event.data.u64 == ListenerTag) {
                acceptConnections();
                continue;
            }
            GatewayConnection *connection = find(event.data.u64 / 2);
            if (connection && !connection->m_isClosed) {
                onEvents(*connection, event.data.u64 % 2, event.events);
                updateEvents(*connection);
            }
        }
        const Core::Instant now = Core::Clock::now();
        m_shaper.advance(now, m_grants);
        applyGrants();
        runTimers(now);
        removeClosed();
    }
}

timespec Gateway::timeToNextWake(Core::Instant now) const
{
    Core::Instant next = now + MaximumWait;
    const std::optional<Core::Instant> shaper = m_shaper.nextWake();
    if (shaper) {
        next = std::min(next, *shaper);
    }
    if (!m_timers.empty()) {
        next = std::min(next, m_timers.top().m_time);
    }
    const std::int64_t nanoseconds = std::max<std::int64_t>(std::chrono::nanoseconds(next - now).count(), 0);
    constexpr std::int64_t nanosecondsPerSecond = 1000000000;
    return timespec{nanoseconds / nanosecondsPerSecond, nanoseconds % nanosecondsPerSecond};
}

void Gateway::acceptConnections()
{
    for (int attempt = 0; attempt < AcceptsPerIteration; ++attempt) {
        try {
            Poco::Net::SocketAddress peer;
            Poco::Net::StreamSocket socket = m_listener->acceptConnection(peer);
            if (m_connections.size() >= m_settings.m_maximumConnections) {
                ++m_totals.m_refused;
                continue;
            }
            socket.setBlocking(false);
            socket.setNoDelay(true);
            socket.setSendBufferSize(SendBufferBytes);
            std::unique_ptr<GatewayConnection> connection = std::make_unique<GatewayConnection>();
            connection->m_id = m_nextConnection++;
            connection->m_source = peer.host().toString();
            connection->m_sides[ClientSide].m_socket = std::move(socket);
            GatewayConnection &added = *connection;
            m_connections.emplace(added.m_id, std::move(connection));
            ++m_totals.m_accepted;
            updateEvents(added);
        } catch (const Poco::Exception &) {
            // There is no further connection to accept, or the connection was closed while it was queued.
            return;
        }
    }
}

void Gateway::onEvents(GatewayConnection &connection, std::size_t side, std::uint32_t events)
{
    ConnectionSide &end = connection.m_sides.at(side);
    if (connection.m_stage == ConnectionStage::Connecting && side == TargetSide) {
        return finishConnect(connection);
    }
    if ((events & EPOLLOUT) != 0) {
        end.m_isBlocked = false;
        writeFlow(connection, 1 - side);
    }
    if ((events & EPOLLIN) != 0 && connection.m_stage == ConnectionStage::ReadingRequest) {
        return readRequest(connection);
    }
    if ((events & EPOLLIN) != 0 && connection.m_stage == ConnectionStage::Open && (wantedEvents(connection, side) & EPOLLIN) != 0) {
        return readSide(connection, side);
    }
    const bool failed = (events & EPOLLERR) != 0;
    const bool closed = (events & EPOLLHUP) != 0;
    if (!failed && !closed) {
        return;
    }
    if (end.m_hasEnded && !failed) {
        // Both directions are closed, and epoll would report this continuously.
        unregister(end);
        return;
    }
    if (connection.m_isFrozen) {
        // The reset waits like the bytes. applyFaults() forwards it when the freeze ends.
        unregister(end);
        end.m_hasFailed = true;
        return;
    }
    onSideFailed(connection, side);
}

void Gateway::readRequest(GatewayConnection &connection)
{
    try {
        const int received = connection.m_sides[ClientSide].m_socket->receiveBytes(m_readBuffer.data(), static_cast<int>(m_readBuffer.size()));
        if (received == 0) {
            return closeConnection(connection, false);
        }
        if (received > 0) {
            connection.m_request.append(m_readBuffer.data(), static_cast<std::size_t>(received));
        }
    } catch (const Poco::Exception &) {
        return closeConnection(connection, false);
    }
    if (connection.m_request.find(HeadEnd) != std::string::npos) {
        return handleRequest(connection);
    }
    if (connection.m_request.size() > MaximumHeadBytes) {
        answer(connection, StatusBadRequest, "the head of the request is too long\n");
    }
}

std::optional<std::string> Gateway::bodyOf(const GatewayConnection &connection, const Poco::Net::HTTPRequest &request) const
{
    const std::size_t start = connection.m_request.find(HeadEnd) + HeadEnd.size();
    const std::int64_t length = std::max<std::int64_t>(request.getContentLength64(), 0);
    if (connection.m_request.size() - start < static_cast<std::size_t>(length)) {
        return std::nullopt;
    }
    return connection.m_request.substr(start, static_cast<std::size_t>(length));
}

void Gateway::handleRequest(GatewayConnection &connection)
{
    Poco::Net::HTTPRequest request;
    try {
        std::istringstream head(connection.m_request);
        request.read(head);
    } catch (const Poco::Exception &exception) {
        return answer(connection, StatusBadRequest, exception.displayText() + "\n");
    }
    if (request.getMethod() == Poco::Net::HTTPRequest::HTTP_CONNECT) {
        const Core::Result<Core::Address> target = Core::parseAddress(request.getURI());
        if (!target) {
            return answer(connection, StatusBadRequest, target.error().message() + "\n");
        }
        connection.m_target = target.value().m_host;
        connection.m_targetPort = target.value().m_port;
        connection.m_request.erase(0, connection.m_request.find(HeadEnd) + HeadEnd.size());
        return openTunnel(connection);
    }
    if (request.getContentLength64() > static_cast<std::int64_t>(MaximumBodyBytes)) {
        return answer(connection, StatusBadRequest, "the body is too large\n");
    }
    const std::optional<std::string> body = bodyOf(connection, request);
    if (!body) {
        return;
    }
    if (request.getURI() == "/healthz") {
        return answer(connection, StatusOk, "ok\n");
    }
    if (request.getURI() == "/journal") {
        return answer(connection, StatusOk, journal());
    }
    if (request.getURI() == "/faults") {
        return answerFaults(connection, request, *body);
    }
    answer(connection, StatusNotFound, "no such page\n");
}

void Gateway::answerFaults(GatewayConnection &connection, const Poco::Net::HTTPRequest &request, const std::string &body)
{
    if (request.getMethod() == Poco::Net::HTTPRequest::HTTP_POST) {
        const Core::Result<Poco::JSON::Object::Ptr> object = Json::parseObject(body);
        if (!object) {
            return answer(connection, StatusBadRequest, Json::errorLine(object.error()));
        }
        const Core::Result<GatewayFaults> changed = changeGatewayFaults(m_faults, *object.value());
        if (!changed) {
            return answer(connection, StatusBadRequest, Json::errorLine(changed.error()));
        }
        applyFaults(changed.value(), object.value()->has("silent"));
    }
    answer(connection, StatusOk, showGatewayFaults(m_faults));
}

void Gateway::answer(GatewayConnection &connection, int status, const std::string &body)
{
    Poco::Net::HTTPResponse response(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setContentType(body.starts_with('{') ? "application/json" : "text/plain");
    response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    response.setKeepAlive(false);
    std::ostringstream head;
    response.write(head);
    const std::string text = head.str() + body;
    connection.m_stage = ConnectionStage::Answering;
    ConnectionFlow &flow = connection.m_flows[TargetSide];
    flow.m_buffer.append(text);
    flow.m_buffer.grant(text.size(), Core::Clock::now());
    writeFlow(connection, TargetSide);
}

std::string Gateway::journal() const
{
    Poco::JSON::Array pairs;
    for (const std::pair<const std::pair<std::string, std::string>, std::uint64_t> &entry : m_pairBytes) {
        Poco::JSON::Object object;
        object.set("from", entry.first.first);
        object.set("to", entry.first.second);
        object.set("bytes", entry.second);
        pairs.add(object);
    }
    Poco::JSON::Array hosts;
    for (const std::pair<const std::string, HostBytes> &entry : m_hostBytes) {
        Poco::JSON::Object object;
        object.set("host", entry.first);
        object.set("up", entry.second.m_up);
        object.set("down", entry.second.m_down);
        hosts.add(object);
    }
    Poco::JSON::Object object;
    object.set("region_pairs", pairs);
    object.set("hosts", hosts);
    object.set("open", m_connections.size());
    object.set("accepted", m_totals.m_accepted);
    object.set("refused", m_totals.m_refused);
    object.set("reset", m_totals.m_reset);
    object.set("corrupted", m_totals.m_corrupted);
    object.set("vanished_bytes", m_totals.m_droppedBytes);
    return Json::toLine(object);
}

void Gateway::openTunnel(GatewayConnection &connection)
{
    if (isCut(connection)) {
        ++m_totals.m_refused;
        return answer(connection, StatusBadGateway, "the link is cut\n");
    }
    connection.m_isFrozen = isFrozen(connection);
    if (connection.m_isFrozen) {
        connection.m_stage = ConnectionStage::Held;
        return;
    }
    connectTarget(connection);
}

void Gateway::connectTarget(GatewayConnection &connection)
{
    try {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
        limitBuffers(socket);
        socket.setSendBufferSize(SendBufferBytes);
        socket.connectNB(Poco::Net::SocketAddress(connection.m_target, connection.m_targetPort));
        socket.setBlocking(false);
        socket.setNoDelay(true);
        connection.m_sides[TargetSide].m_socket = socket;
        connection.m_stage = ConnectionStage::Connecting;
    } catch (const Poco::Exception &exception) {
        ++m_totals.m_refused;
        answer(connection, StatusBadGateway, exception.displayText() + "\n");
    }
}

void Gateway::finishConnect(GatewayConnection &connection)
{
    ConnectionSide &target = connection.m_sides[TargetSide];
    int error = 0;
    target.m_socket->getOption(SOL_SOCKET, SO_ERROR, error);
    if (error != 0) {
        unregister(target);
        target.m_socket.reset();
        ++m_totals.m_refused;
        return answer(connection, StatusBadGateway, "the target refuses connections\n");
    }
    connection.m_stage = ConnectionStage::Open;
    prepareFlow(connection, ClientSide);
    prepareFlow(connection, TargetSide);
    ConnectionFlow &back = connection.m_flows[TargetSide];
    back.m_buffer.append(Established);
    back.m_buffer.grant(Established.size(), Core::Clock::now() + 2 * back.m_latency);
    writeFlow(connection, TargetSide);
    const std::string pending = std::move(connection.m_request);
    connection.m_request.clear();
    if (!pending.empty()) {
        forwardBytes(connection, ClientSide, pending);
    }
}

void Gateway::prepareFlow(GatewayConnection &connection, std::size_t direction)
{
    const std::string &from = direction == ClientSide ? connection.m_source : connection.m_target;
    const std::string &to = direction == ClientSide ? connection.m_target : connection.m_source;
    ConnectionFlow &flow = connection.m_flows.at(direction);
    flow.m_latency = m_topology.latency(from, to);
    std::vector<LinkId> path = m_topology.path(from, to);
    flow.m_isShaped = !path.empty();
    if (flow.m_isShaped) {
        m_shaper.addFlow(connection.flowId(direction), std::move(path));
    }
    if (from == to) {
        return;
    }
    const std::map<std::string, HostBytes>::iterator source = m_hostBytes.find(from);
    const std::map<std::string, HostBytes>::iterator target = m_hostBytes.find(to);
    if (source != m_hostBytes.end()) {
        flow.m_counters.m_up = &source->second.m_up;
    }
    if (target != m_hostBytes.end()) {
        flow.m_counters.m_down = &target->second.m_down;
    }
    if (source != m_hostBytes.end() && target != m_hostBytes.end()) {
        flow.m_counters.m_pair = &m_pairBytes[{m_topology.location(from).m_region, m_topology.location(to).m_region}];
    }
}

std::size_t Gateway::receiveCapacity(const ConnectionFlow &flow) const
{
    const std::size_t ungranted = std::min(flow.m_buffer.ungranted(), MaximumUngrantedBytes);
    const std::size_t all = std::min(flow.m_buffer.size(), MaximumFlowBytes);
    return std::min(MaximumUngrantedBytes - ungranted, MaximumFlowBytes - all);
}

void Gateway::readSide(GatewayConnection &connection, std::size_t side)
{
    ConnectionSide &end = connection.m_sides.at(side);
    ConnectionFlow &flow = connection.m_flows.at(side);
    for (int attempt = 0; attempt < ReadsPerEvent; ++attempt) {
        const std::size_t room = flow.m_isSilenced ? ReadBytes : std::min(receiveCapacity(flow), ReadBytes);
        if (room == 0) {
            return;
        }
        int received = 0;
        try {
            received = end.m_socket->receiveBytes(m_readBuffer.data(), static_cast<int>(room));
        } catch (const Poco::Exception &) {
            return onSideFailed(connection, side);
        }
        if (received < 0) {
            return;
        }
        if (received == 0) {
            end.m_hasEnded = true;
            return finishFlow(connection, side);
        }
        forwardBytes(connection, side, std::string_view(m_readBuffer.data(), static_cast<std::size_t>(received)));
        if (connection.m_isClosed || static_cast<std::size_t>(received) < room) {
            return;
        }
    }
}

void Gateway::forwardBytes(GatewayConnection &connection, std::size_t direction, std::string_view bytes)
{
    ConnectionFlow &flow = connection.m_flows.at(direction);
    if (flow.m_isSilenced) {
        m_totals.m_droppedBytes += bytes.size();
        return;
    }
    constexpr double percent = 100;
    if (m_faults.m_corruptPercent > 0 && m_random.unit() * percent < m_faults.m_corruptPercent) {
        std::string changed(bytes);
        char &byte = changed[m_random.below(changed.size())];
        byte = static_cast<char>(~byte);
        flow.m_buffer.append(changed);
        ++m_totals.m_corrupted;
    } else {
        flow.m_buffer.append(bytes);
    }
    if (flow.m_isShaped) {
        m_shaper.addBacklog(connection.flowId(direction), bytes.size(), Core::Clock::now(), m_grants);
        return applyGrants();
    }
    flow.m_buffer.grant(bytes.size(), Core::Clock::now() + flow.m_latency);
    writeFlow(connection, direction);
}

void Gateway::applyGrants()
{
    std::vector<Grant> grants;
    grants.swap(m_grants);
    const Core::Instant now = Core::Clock::now();
    for (const Grant &grant : grants) {
        GatewayConnection *connection = find(grant.m_flow / 2);
        if (!connection || connection->m_isClosed) {
            continue;
        }
        const std::size_t direction = grant.m_flow % 2;
        ConnectionFlow &flow = connection->m_flows.at(direction);
        flow.m_buffer.grant(grant.m_bytes, now + flow.m_latency);
        writeFlow(*connection, direction);
        updateEvents(*connection);
    }
    grants.clear();
    if (m_grants.empty()) {
        m_grants.swap(grants);
    }
}

void Gateway::writeFlow(GatewayConnection &connection, std::size_t direction)
{
    const std::size_t side = 1 - direction;
    ConnectionSide &end = connection.m_sides.at(side);
    ConnectionFlow &flow = connection.m_flows.at(direction);
    if (connection.m_isClosed || connection.m_isFrozen || end.m_isBlocked || !end.m_socket) {
        return;
    }
    const std::string_view bytes = flow.m_buffer.writable(Core::Clock::now());
    if (!bytes.empty() && end.m_hasFailed) {
        flow.m_buffer.consume(bytes.size());
    } else if (!bytes.empty()) {
        const Core::Result<std::size_t> sent = Network::sendSome(*end.m_socket, bytes);
        if (!sent) {
            return onSideFailed(connection, side);
        }
        end.m_isBlocked = sent.value() < bytes.size();
        flow.m_buffer.consume(sent.value());
        flow.m_counters.add(sent.value());
    }
    setTimer(connection, direction);
    finishFlow(connection, direction);
}

void Gateway::setTimer(GatewayConnection &connection, std::size_t direction)
{
    ConnectionFlow &flow = connection.m_flows.at(direction);
    const std::optional<Core::Instant> due = flow.m_buffer.nextDue();
    if (!due || flow.m_timer || connection.m_sides.at(1 - direction).m_isBlocked) {
        return;
    }
    flow.m_timer = due;
    m_timers.push(Timer{*due, connection.flowId(direction)});
}

void Gateway::runTimers(Core::Instant now)
{
    while (!m_timers.empty() && m_timers.top().m_time <= now) {
        const FlowId flow = m_timers.top().m_flow;
        m_timers.pop();
        GatewayConnection *connection = find(flow / 2);
        if (connection && !connection->m_isClosed) {
            connection->m_flows.at(flow % 2).m_timer.reset();
            writeFlow(*connection, flow % 2);
            updateEvents(*connection);
        }
    }
}

void Gateway::finishFlow(GatewayConnection &connection, std::size_t direction)
{
    ConnectionFlow &flow = connection.m_flows.at(direction);
    if (flow.m_isFinished || flow.m_buffer.size() > 0) {
        return;
    }
    if (connection.m_stage == ConnectionStage::Answering) {
        return closeConnection(connection, false);
    }
    if (!connection.m_sides.at(direction).m_hasEnded) {
        return;
    }
    flow.m_isFinished = true;
    ConnectionSide &end = connection.m_sides.at(1 - direction);
    if (!flow.m_isSilenced && end.m_socket && !end.m_hasFailed) {
        try {
            end.m_socket->shutdownSend();
        } catch (const Poco::Exception &) {
            // The peer has closed the connection already.
            end.m_hasFailed = true;
        }
    }
    if (connection.m_flows.at(1 - direction).m_isFinished) {
        closeConnection(connection, false);
    }
}

void Gateway::onSideFailed(GatewayConnection &connection, std::size_t side)
{
    ConnectionSide &end = connection.m_sides.at(side);
    unregister(end);
    end.m_hasFailed = true;
    end.m_hasEnded = true;
    const bool isOtherClosed = connection.m_sides.at(1 - side).m_hasFailed || connection.m_flows.at(1 - side).m_isFinished;
    if (connection.m_flows.at(side).m_isSilenced && !isOtherClosed) {
        // The reset is discarded like the bytes: the other end keeps an open socket that receives nothing.
        connection.m_flows.at(side).m_isFinished = true;
        return;
    }
    closeConnection(connection, true);
}

void Gateway::forwardResets(GatewayConnection &connection)
{
    for (std::size_t side = 0; side < connection.m_sides.size(); ++side) {
        if (connection.m_sides.at(side).m_hasFailed && !connection.m_flows.at(side).m_isFinished) {
            onSideFailed(connection, side);
        }
    }
}

void Gateway::closeConnection(GatewayConnection &connection, bool reset)
{
    if (connection.m_isClosed) {
        return;
    }
    connection.m_isClosed = true;
    connection.m_closesWithReset = reset;
    m_totals.m_reset += reset ? 1 : 0;
    m_closed.push_back(connection.m_id);
}

void Gateway::removeClosed()
{
    for (const GatewayConnectionId id : m_closed) {
        GatewayConnection *connection = find(id);
        if (!connection) {
            continue;
        }
        m_shaper.removeFlow(connection->flowId(ClientSide));
        m_shaper.removeFlow(connection->flowId(TargetSide));
        for (ConnectionSide &side : connection->m_sides) {
            unregister(side);
            if (side.m_socket && connection->m_closesWithReset && !side.m_hasFailed) {
                side.m_socket->setLinger(true, 0);
            }
        }
        m_connections.erase(id);
    }
    m_closed.clear();
}

bool Gateway::isCut(const GatewayConnection &connection) const
{
    for (const LinkSelector &cut : m_faults.m_cut) {
        const bool forwards = m_topology.matches(cut.m_from, connection.m_source) && m_topology.matches(cut.m_to, connection.m_target);
        const bool backwards = m_topology.matches(cut.m_from, connection.m_target) && m_topology.matches(cut.m_to, connection.m_source);
        if (forwards || backwards) {
            return true;
        }
    }
    return false;
}

bool Gateway::isFrozen(const GatewayConnection &connection) const
{
    for (const std::string &host : m_faults.m_freeze) {
        if (m_topology.matches(host, connection.m_source) || m_topology.matches(host, connection.m_target)) {
            return true;
        }
    }
    return false;
}

bool Gateway::isSilenced(const std::string &from, const std::string &to) const
{
    for (const LinkSelector &silent : m_faults.m_silent) {
        if (m_topology.matches(silent.m_from, from) && m_topology.matches(silent.m_to, to)) {
            return true;
        }
    }
    return false;
}

void Gateway::applyFaults(const GatewayFaults &faults, bool silenceNow)
{
    m_faults = faults;
    for (const std::pair<const GatewayConnectionId, std::unique_ptr<GatewayConnection>> &entry : m_connections) {
        GatewayConnection &connection = *entry.second;
        if (connection.m_target.empty() || connection.m_isClosed || connection.m_stage == ConnectionStage::Answering) {
            continue;
        }
        if (isCut(connection)) {
            closeConnection(connection, true);
            continue;
        }
        if (silenceNow && connection.m_stage == ConnectionStage::Open) {
            connection.m_flows[ClientSide].m_isSilenced |= isSilenced(connection.m_source, connection.m_target);
            connection.m_flows[TargetSide].m_isSilenced |= isSilenced(connection.m_target, connection.m_source);
        }
        connection.m_isFrozen = isFrozen(connection);
        if (!connection.m_isFrozen && connection.m_stage == ConnectionStage::Held) {
            connectTarget(connection);
        }
        if (!connection.m_isFrozen) {
            forwardResets(connection);
        }
        if (connection.m_stage == ConnectionStage::Open) {
            writeFlow(connection, ClientSide);
            writeFlow(connection, TargetSide);
        }
        updateEvents(connection);
    }
}

std::uint32_t Gateway::wantedEvents(const GatewayConnection &connection, std::size_t side) const
{
    const ConnectionSide &end = connection.m_sides.at(side);
    const std::uint32_t write = end.m_isBlocked ? static_cast<std::uint32_t>(EPOLLOUT) : 0U;
    switch (connection.m_stage) {
    case ConnectionStage::ReadingRequest:
        return EPOLLIN;
    case ConnectionStage::Held:
        return 0;
    case ConnectionStage::Connecting:
        return side == TargetSide ? static_cast<std::uint32_t>(EPOLLOUT) : 0U;
    case ConnectionStage::Answering:
        return write;
    case ConnectionStage::Open:
        break;
    }
    if (connection.m_isFrozen) {
        return 0;
    }
    const ConnectionFlow &flow = connection.m_flows.at(side);
    const bool reads = !end.m_hasEnded && (flow.m_isSilenced || receiveCapacity(flow) > 0);
    return write | (reads ? static_cast<std::uint32_t>(EPOLLIN) : 0U);
}

void Gateway::updateEvents(GatewayConnection &connection)
{
    for (std::size_t side = 0; side < connection.m_sides.size(); ++side) {
        ConnectionSide &end = connection.m_sides.at(side);
        if (!end.m_socket || end.m_hasFailed || connection.m_isClosed) {
            continue;
        }
        const std::uint32_t wanted = wantedEvents(connection, side);
        if (end.m_isRegistered && wanted == end.m_events) {
            continue;
        }
        if (!end.m_isRegistered && end.m_hasEnded) {
            continue;
        }
        epoll_event event{};
        event.events = wanted;
        event.data.u64 = connection.m_id * 2 + side;
        ::epoll_ctl(m_epoll, end.m_isRegistered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, end.m_socket->impl()->sockfd(), &event);
        end.m_isRegistered = true;
        end.m_events = wanted;
    }
}

void Gateway::unregister(ConnectionSide &side)
{
    if (side.m_isRegistered && side.m_socket) {
        ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, side.m_socket->impl()->sockfd(), nullptr);
    }
    side.m_isRegistered = false;
}

GatewayConnection *Gateway::find(GatewayConnectionId id)
{
    const std::unordered_map<GatewayConnectionId, std::unique_ptr<GatewayConnection>>::iterator found = m_connections.find(id);
    return found == m_connections.end() ? nullptr : found->second.get();
}

}
