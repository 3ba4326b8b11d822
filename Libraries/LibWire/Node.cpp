/// @file Implementation of the node: one epoll loop over all connections.

#include "LibWire/Node.h"

#include "LibNetwork/Listener.h"
#include "LibTelemetry/MemoryGauges.h"

#include <future>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace Wire {

namespace {

constexpr ConnectionId ListenerId = 0;
constexpr ConnectionId WakeId = 1;
constexpr ConnectionId FirstConnectionId = 2;
constexpr int EventsPerIteration = 256;
constexpr int AcceptsPerIteration = 64;
constexpr int ListenBacklog = 512;
constexpr std::size_t ConnectionBytes = 8 << 10; ///< Reserved for an accepted connection without calls.
constexpr Core::Duration TickInterval{100};

Core::Error makeStoppingError()
{
    return Core::makeError(Core::ErrorCode::Cancelled, "call", "", "the node is stopping");
}

}

Node::Node(NodeSettings settings, Telemetry::Metrics &metrics)
    : m_settings(std::move(settings))
    , m_memory(std::make_shared<Core::ByteBudget>(m_settings.m_memoryBytes))
    , m_traffic(metrics)
    , m_connectionsLost(metrics.counter("wire_connections_lost_total"))
    , m_callsRefused(metrics.counter("wire_calls_refused_total"))
    , m_commands(m_settings.m_commandCapacity)
    , m_nextConnection(FirstConnectionId)
{
    m_host.m_limits = m_settings.m_limits;
    m_host.m_traffic = &m_traffic;
    m_host.m_memory = m_memory;
    Telemetry::addMemoryGauges(metrics, "peers", m_memory);
    m_host.m_findHandler = [this](const std::string &method) {
        const std::map<std::string, Handler>::const_iterator it = m_handlers.find(method);
        return it == m_handlers.end() ? nullptr : &it->second;
    };
    m_host.m_markDirty = [this](ConnectionId connection, std::int32_t stream) {
        {
            const std::lock_guard<std::mutex> lock(m_dirtyMutex);
            m_dirty.emplace_back(connection, stream);
        }
        wake();
    };
    m_host.m_onCallEnded = [this](CallId call) { m_calls.erase(call); };
    m_epoll = ::epoll_create1(EPOLL_CLOEXEC);
    m_wakeDescriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
}

Node::~Node()
{
    stop();
    ::close(m_wakeDescriptor);
    ::close(m_epoll);
}

void Node::handle(const std::string &method, Handler handler)
{
    m_handlers[method] = std::move(handler);
}

Core::Result<void> Node::start()
{
    if (m_settings.m_listen) {
        try {
            m_listener.emplace(Network::listenOn(*m_settings.m_listen, ListenBacklog));
            m_listener->setBlocking(false);
        } catch (const Poco::Exception &exception) {
            return Core::makeError(Core::ErrorCode::Unavailable, "listen for calls", m_settings.m_listen->toString(), exception.displayText());
        }
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.u64 = ListenerId;
        ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_listener->impl()->sockfd(), &event);
    }
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = WakeId;
    ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeDescriptor, &event);
    m_running = true;
    m_thread = std::thread([this] { run(); });
    return Core::success();
}

void Node::stop()
{
    if (!m_running.exchange(false)) {
        return;
    }
    m_commands.close();
    wake();
    m_thread.join();
}

void Node::wake()
{
    if (!m_wakeRequested.exchange(true)) {
        const std::uint64_t one = 1;
        [[maybe_unused]] const ssize_t written = ::write(m_wakeDescriptor, &one, sizeof(one));
    }
}

CallId Node::call(const Core::Address &peer, std::string method, std::string body, CallOptions options, CallEvents events)
{
    const CallId id = m_nextCall.fetch_add(1);
    const std::function<void(const CallEnd &)> onEnd = events.m_onEnd;
    Command command{peer, Connection::NewCall{id, std::move(method), std::move(body), options, std::move(events)}, 0};
    if (!m_commands.tryPush(std::move(command))) {
        m_callsRefused.add();
        const Core::Error error = m_commands.isClosed()
            ? makeStoppingError()
            : Core::makeError(Core::ErrorCode::Overloaded, "start call", peer.toString(), "too many calls are waiting");
        onEnd(CallEnd{false, Delivery::NotSent, error});
        return id;
    }
    wake();
    return id;
}

void Node::cancel(CallId call)
{
    Command command;
    command.m_cancelled = call;
    // If the ring is full, the cancellation is dropped and the call ends at its own deadline.
    if (m_commands.tryPush(std::move(command))) {
        wake();
    }
}

Core::Result<std::string> Node::request(const Core::Address &peer, std::string method, std::string body, Core::Duration timeout)
{
    struct Exchange
    {
        std::string m_frame;
        std::promise<CallEnd> m_end;
    };
    const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>();
    std::future<CallEnd> future = exchange->m_end.get_future();
    CallEvents events;
    events.m_onFrame = [exchange](std::string frame) { exchange->m_frame = std::move(frame); };
    events.m_onEnd = [exchange](const CallEnd &end) { exchange->m_end.set_value(end); };
    call(peer, std::move(method), std::move(body), CallOptions{timeout}, std::move(events));
    const CallEnd end = future.get();
    if (!end.m_succeeded) {
        return end.m_error;
    }
    return std::move(exchange->m_frame);
}

void Node::run()
{
    std::array<epoll_event, EventsPerIteration> events;
    m_nextTick = Core::Clock::now() + TickInterval;
    while (m_running) {
        const std::int64_t wait = std::chrono::ceil<Core::Duration>(m_nextTick - Core::Clock::now()).count();
        const int count = ::epoll_wait(m_epoll, events.data(), EventsPerIteration, static_cast<int>(std::max<std::int64_t>(wait, 0)));
        for (int index = 0; index < count; ++index) {
            const epoll_event &event = events.at(static_cast<std::size_t>(index));
            if (event.data.u64 == ListenerId) {
                acceptConnections();
                continue;
            }
            if (event.data.u64 == WakeId) {
                std::uint64_t ignored = 0;
                [[maybe_unused]] const ssize_t bytes = ::read(m_wakeDescriptor, &ignored, sizeof(ignored));
                continue;
            }
            const std::unordered_map<ConnectionId, std::unique_ptr<Connection>>::iterator found = m_connections.find(event.data.u64);
            if (found == m_connections.end() || found->second->isDead()) {
                continue;
            }
            if ((event.events & EPOLLOUT) != 0) {
                found->second->onWritable();
            }
            if ((event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && !found->second->isDead()) {
                found->second->onReadable();
            }
            updateWriteInterest(*found->second);
        }
        m_wakeRequested = false;
        runCommands();
        resumeDirtyStreams();
        const Core::Instant now = Core::Clock::now();
        expireCalls(now);
        if (now >= m_nextTick) {
            tick(now);
            m_nextTick = now + TickInterval;
        }
        removeDeadConnections();
    }
    shutDownAll();
}

void Node::runCommands()
{
    while (std::optional<Command> command = m_commands.pop(Core::Duration(0))) {
        if (command->m_cancelled != 0) {
            abandonCall(command->m_cancelled, Core::makeError(Core::ErrorCode::Cancelled, "call", "", "cancelled by the caller"));
            continue;
        }
        startCall(std::move(*command));
    }
}

void Node::startCall(Command command)
{
    Core::Error error;
    Connection *connection = connectionTo(*command.m_peer, error);
    if (!connection) {
        command.m_call.m_events.m_onEnd(CallEnd{false, Delivery::NotSent, error});
        return;
    }
    const CallId id = command.m_call.m_id;
    const Core::Duration timeout = command.m_call.m_options.m_timeout;
    const Core::Instant deadline = Core::Clock::now() + timeout;
    m_calls[id] = OpenCall{connection->id(), Core::Clock::now(), *command.m_peer};
    if (timeout.count() > 0) {
        m_deadlines.emplace(deadline, id);
    }
    connection->startCall(std::move(command.m_call));
    connection->flush();
    updateWriteInterest(*connection);
}

void Node::resumeDirtyStreams()
{
    std::vector<std::pair<ConnectionId, std::int32_t>> dirty;
    {
        const std::lock_guard<std::mutex> lock(m_dirtyMutex);
        dirty.swap(m_dirty);
    }
    std::sort(dirty.begin(), dirty.end());
    dirty.erase(std::unique(dirty.begin(), dirty.end()), dirty.end());
    for (std::size_t index = 0; index < dirty.size(); ++index) {
        const std::unordered_map<ConnectionId, std::unique_ptr<Connection>>::iterator found = m_connections.find(dirty[index].first);
        if (found == m_connections.end() || found->second->isDead()) {
            continue;
        }
        found->second->resumeStream(dirty[index].second);
        const bool isLastOfConnection = index + 1 == dirty.size() || dirty[index + 1].first != dirty[index].first;
        if (isLastOfConnection) {
            found->second->flush();
            updateWriteInterest(*found->second);
        }
    }
}

void Node::acceptConnections()
{
    for (int accepts = 0; accepts < AcceptsPerIteration; ++accepts) {
        try {
            Poco::Net::StreamSocket socket = m_listener->acceptConnection();
            Core::ByteReservation memory(m_memory);
            if (m_connections.size() >= m_settings.m_maximumConnections || !memory.tryResize(ConnectionBytes)) {
                m_callsRefused.add();
                continue;
            }
            socket.setBlocking(false);
            socket.setNoDelay(true);
            std::unique_ptr<Connection> connection = Connection::createAccepted(m_nextConnection++, std::move(socket), std::move(memory), m_host);
            Connection &added = *connection;
            m_connections.emplace(added.id(), std::move(connection));
            registerConnection(added);
            added.flush();
            updateWriteInterest(added);
        } catch (const Poco::Exception &) {
            // No more connections are waiting, or the connection closed before it was accepted.
            return;
        }
    }
}

Connection *Node::connectionTo(const Core::Address &peer, Core::Error &error)
{
    const std::map<Core::Address, ConnectionId>::iterator known = m_outgoing.find(peer);
    if (known != m_outgoing.end()) {
        const std::unordered_map<ConnectionId, std::unique_ptr<Connection>>::iterator found = m_connections.find(known->second);
        if (found != m_connections.end() && !found->second->isDead()) {
            return found->second.get();
        }
    }
    Core::Result<Poco::Net::StreamSocket> socket = Network::beginDial(m_settings.m_network, peer);
    if (!socket) {
        error = socket.error();
        return nullptr;
    }
    std::unique_ptr<Connection> connection =
        Connection::createOutgoing(m_nextConnection++, std::move(socket.value()), peer, m_settings.m_network.m_gateway.has_value(), m_host);
    Connection &added = *connection;
    m_outgoing[peer] = added.id();
    m_connections.emplace(added.id(), std::move(connection));
    registerConnection(added);
    return &added;
}

void Node::registerConnection(Connection &connection)
{
    epoll_event event{};
    event.events = EPOLLIN | (connection.wantsWrite() ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    event.data.u64 = connection.id();
    ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, connection.descriptor(), &event);
    m_writeInterest[connection.id()] = connection.wantsWrite();
}

void Node::updateWriteInterest(Connection &connection)
{
    if (connection.isDead()) {
        return;
    }
    bool &watched = m_writeInterest[connection.id()];
    if (watched == connection.wantsWrite()) {
        return;
    }
    watched = connection.wantsWrite();
    epoll_event event{};
    event.events = EPOLLIN | (watched ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    event.data.u64 = connection.id();
    ::epoll_ctl(m_epoll, EPOLL_CTL_MOD, connection.descriptor(), &event);
}

void Node::tick(Core::Instant now)
{
    for (std::pair<const ConnectionId, std::unique_ptr<Connection>> &entry : m_connections) {
        Connection &connection = *entry.second;
        connection.onTick(now);
        updateWriteInterest(connection);
        if (!connection.isIdle()) {
            m_idleSince.erase(entry.first);
            continue;
        }
        const Core::Instant since = m_idleSince.emplace(entry.first, now).first->second;
        if (now - since > m_settings.m_idleTimeout) {
            connection.shutDown(Core::makeError(Core::ErrorCode::Cancelled, "keep connection", connection.peer().toString(), "idle"));
        }
    }
}

void Node::expireCalls(Core::Instant now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const CallId call = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const std::unordered_map<CallId, OpenCall>::const_iterator found = m_calls.find(call);
        if (found != m_calls.end()) {
            retireIfSilent(found->second);
            abandonCall(call, Core::makeError(Core::ErrorCode::Timeout, "await answer", found->second.m_peer.toString(), "no answer in time"));
        }
    }
}

void Node::retireIfSilent(const OpenCall &call)
{
    const std::unordered_map<ConnectionId, std::unique_ptr<Connection>>::const_iterator connection = m_connections.find(call.m_connection);
    const std::map<Core::Address, ConnectionId>::const_iterator current = m_outgoing.find(call.m_peer);
    const bool isCurrent = current != m_outgoing.end() && current->second == call.m_connection;
    if (isCurrent && connection != m_connections.end() && connection->second->isSilentSince(call.m_startedAt)) {
        m_outgoing.erase(current);
    }
}

void Node::abandonCall(CallId call, const Core::Error &reason)
{
    const std::unordered_map<CallId, OpenCall>::const_iterator open = m_calls.find(call);
    if (open == m_calls.end()) {
        return;
    }
    const std::unordered_map<ConnectionId, std::unique_ptr<Connection>>::iterator found = m_connections.find(open->second.m_connection);
    if (found == m_connections.end()) {
        return;
    }
    found->second->abandonCall(call, reason);
    found->second->flush();
    updateWriteInterest(*found->second);
}

void Node::removeDeadConnections()
{
    for (std::unordered_map<ConnectionId, std::unique_ptr<Connection>>::iterator it = m_connections.begin(); it != m_connections.end();) {
        if (!it->second->isDead()) {
            ++it;
            continue;
        }
        m_connectionsLost.add();
        const std::map<Core::Address, ConnectionId>::iterator known = m_outgoing.find(it->second->peer());
        if (known != m_outgoing.end() && known->second == it->first) {
            m_outgoing.erase(known);
        }
        m_writeInterest.erase(it->first);
        m_idleSince.erase(it->first);
        it = m_connections.erase(it);
    }
}

void Node::shutDownAll()
{
    while (std::optional<Command> command = m_commands.pop(Core::Duration(0))) {
        if (command->m_peer) {
            command->m_call.m_events.m_onEnd(CallEnd{false, Delivery::NotSent, makeStoppingError()});
        }
    }
    for (std::pair<const ConnectionId, std::unique_ptr<Connection>> &entry : m_connections) {
        entry.second->shutDown(makeStoppingError());
    }
    m_connections.clear();
}

}
