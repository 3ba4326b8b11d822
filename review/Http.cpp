/// @file Implementation of blocking HTTP/1.1.

#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.m_port);
    inet_pton(AF_INET, address.m_host.c_str(), &result.sin_addr);
    return result;
}

bool readFields(Stream &stream, Fields &fields, Clock::time_point deadline)
{
    while (true) {
        const std::optional<std::string> line = stream.readLine(deadline);
        if (!line) {
            return false;
        }
        if (line->empty()) {
            return true;
        }
        const std::size_t colon = line->find(':');
        if (colon == std::string::npos) {
            return false;
        }
        const std::size_t first = line->find_first_not_of(" \t", colon + 1);
        fields.emplace_back(line->substr(0, colon), first == std::string::npos ? std::string() : line->substr(first));
    }
}

bool readChunks(Stream &stream, std::string &body, Clock::time_point deadline)
{
    while (true) {
        const std::optional<std::string> size = stream.readLine(deadline);
        if (!size || size->empty()) {
            return false;
        }
        const std::size_t count = std::strtoul(size->c_str(), nullptr, 16);
        if (count == 0) {
            return stream.readLine(deadline).has_value();
        }
        if (!stream.readExactly(count, body, deadline) || !stream.readLine(deadline)) {
            return false;
        }
    }
}

bool readBody(Stream &stream, const Fields &fields, std::string &body, bool endsWithConnection, Clock::time_point deadline)
{
    if (lowerCase(fieldOf(fields, "Transfer-Encoding")) == "chunked") {
        return readChunks(stream, body, deadline);
    }
    const std::string length = fieldOf(fields, "Content-Length");
    if (!length.empty()) {
        return stream.readExactly(std::strtoul(length.c_str(), nullptr, 10), body, deadline);
    }
    if (!endsWithConnection) {
        return true;
    }
    while (stream.readExactly(1, body, deadline)) { }
    return stream.end() == Stream::End::Closed;
}

}

std::string fieldOf(const Fields &fields, const std::string &name)
{
    for (const std::pair<std::string, std::string> &field : fields) {
        if (lowerCase(field.first) == lowerCase(name)) {
            return field.second;
        }
    }
    return {};
}

std::string Request::path() const
{
    return m_target.substr(0, m_target.find('?'));
}

std::string Request::query(const std::string &name) const
{
    const std::size_t question = m_target.find('?');
    std::string rest = question == std::string::npos ? std::string() : "&" + m_target.substr(question + 1);
    const std::size_t found = rest.find("&" + name + "=");
    if (found == std::string::npos) {
        return {};
    }
    rest = rest.substr(found + name.size() + 2);
    return rest.substr(0, rest.find('&'));
}

Stream::~Stream()
{
    ::close(m_descriptor);
}

bool Stream::write(const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = ::send(m_descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(count);
    }
    return true;
}

bool Stream::fill(Clock::time_point deadline)
{
    const std::int64_t left = std::chrono::ceil<Milliseconds>(deadline - Clock::now()).count();
    pollfd descriptor{m_descriptor, POLLIN, 0};
    if (left <= 0 || ::poll(&descriptor, 1, static_cast<int>(left)) <= 0) {
        m_end = End::Timeout;
        return false;
    }
    char bytes[16384];
    const ssize_t count = ::recv(m_descriptor, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        m_end = count == 0 ? End::Closed : End::Reset;
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Stream::readLine(Clock::time_point deadline)
{
    std::size_t end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!fill(deadline)) {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n");
    }
    const std::string line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return line;
}

bool Stream::readExactly(std::size_t count, std::string &bytes, Clock::time_point deadline)
{
    while (count > 0) {
        if (m_buffer.empty() && !fill(deadline)) {
            return false;
        }
        const std::size_t taken = std::min(count, m_buffer.size());
        bytes.append(m_buffer, 0, taken);
        m_buffer.erase(0, taken);
        count -= taken;
    }
    return true;
}

bool Stream::isPeerGone() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void Stream::reset()
{
    // Dissolving the association sends a reset, which a shutdown would turn into an orderly end.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    ::connect(m_descriptor, &none, sizeof(none));
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::shared_ptr<Stream> dial(const Address &address, Milliseconds timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = socketAddress(address);
    const int result = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
    std::shared_ptr<Stream> stream = std::make_shared<Stream>(descriptor);
    if (result != 0) {
        pollfd writable{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&writable, 1, static_cast<int>(timeout.count())) <= 0) {
            return nullptr;
        }
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            return nullptr;
        }
    }
    const int flags = 0;
    const int one = 1;
    ::ioctl(descriptor, FIONBIO, &flags);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return stream;
}

std::string Answer::describe() const
{
    constexpr const char *ends[] = {"", " closed", " reset", " timed out"};
    return (m_status == 0 ? std::string("no answer") : "status " + std::to_string(m_status)) + (m_isComplete ? " complete" : " incomplete")
        + ends[static_cast<int>(m_end)] + " body " + std::to_string(m_body.size()) + " B";
}

std::string encodeRequest(const Request &request)
{
    std::string text = request.m_method + " " + request.m_target + " HTTP/1.1\r\n";
    for (const std::pair<std::string, std::string> &field : request.m_fields) {
        text += field.first + ": " + field.second + "\r\n";
    }
    if (request.m_method != "GET") {
        text += "Content-Length: " + std::to_string(request.m_body.size()) + "\r\n";
    }
    return text + "\r\n" + request.m_body;
}

Answer readAnswer(Stream &stream, Clock::time_point deadline)
{
    Answer answer;
    const std::optional<std::string> line = stream.readLine(deadline);
    if (line && line->size() > 12) {
        answer.m_status = std::atoi(line->c_str() + 9);
        answer.m_isComplete = readFields(stream, answer.m_fields, deadline) && readBody(stream, answer.m_fields, answer.m_body, true, deadline);
    }
    answer.m_end = stream.end();
    return answer;
}

Answer exchange(const Address &address, const Request &request, Milliseconds timeout)
{
    const Clock::time_point deadline = Clock::now() + timeout;
    const std::shared_ptr<Stream> stream = dial(address, std::min(timeout, Milliseconds(1000)));
    if (!stream || !stream->write(encodeRequest(request))) {
        return {};
    }
    return readAnswer(*stream, deadline);
}

std::string encodeAnswer(int status, Fields fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    fields.emplace_back("Content-Length", std::to_string(body.size()));
    for (const std::pair<std::string, std::string> &field : fields) {
        text += field.first + ": " + field.second + "\r\n";
    }
    return text + "\r\n" + body;
}

struct Server::State
{
    std::mutex m_mutex;
    std::set<std::shared_ptr<Stream>> m_streams;
    int m_listener = -1;
    int m_threads = 0;
    bool m_isStopped = false;
};

Server::Server(Address address, Handler handler)
    : m_address(std::move(address))
    , m_handler(std::move(handler))
    , m_state(std::make_shared<State>())
{
}

Server::~Server()
{
    stop();
}

bool Server::start()
{
    const int one = 1;
    const sockaddr_in local = socketAddress(m_address);
    m_state->m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(m_state->m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (::bind(m_state->m_listener, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0 || ::listen(m_state->m_listener, 256) != 0) {
        return false;
    }
    m_thread = std::thread([this, state = m_state] {
        while (true) {
            const int descriptor = ::accept4(state->m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            const int noDelay = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
            const std::shared_ptr<Stream> stream = std::make_shared<Stream>(descriptor);
            const std::lock_guard<std::mutex> lock(state->m_mutex);
            if (state->m_isStopped) {
                return;
            }
            state->m_streams.insert(stream);
            ++state->m_threads;
            std::thread([this, state, stream] {
                serve(stream);
                const std::lock_guard<std::mutex> end(state->m_mutex);
                state->m_streams.erase(stream);
                --state->m_threads;
            }).detach();
        }
    });
    return true;
}

void Server::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(m_state->m_mutex);
        m_state->m_isStopped = true;
        for (const std::shared_ptr<Stream> &stream : m_state->m_streams) {
            stream->reset();
        }
    }
    ::shutdown(m_state->m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_state->m_listener);
    while (true) {
        std::this_thread::sleep_for(Milliseconds(5));
        const std::lock_guard<std::mutex> lock(m_state->m_mutex);
        if (m_state->m_threads == 0) {
            return;
        }
    }
}

void Server::serve(const std::shared_ptr<Stream> &stream)
{
    constexpr std::chrono::seconds idle(60);
    while (true) {
        const Clock::time_point deadline = Clock::now() + idle;
        const std::optional<std::string> line = stream->readLine(deadline);
        if (!line) {
            return;
        }
        Request request;
        const std::size_t first = line->find(' ');
        const std::size_t second = line->find(' ', first + 1);
        if (first == std::string::npos || second == std::string::npos) {
            return;
        }
        request.m_method = line->substr(0, first);
        request.m_target = line->substr(first + 1, second - first - 1);
        if (!readFields(*stream, request.m_fields, deadline) || !readBody(*stream, request.m_fields, request.m_body, false, deadline)) {
            return;
        }
        if (!m_handler(stream, request)) {
            return;
        }
    }
}

}
