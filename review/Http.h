/// @file Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address
{
    std::string m_host;
    std::uint16_t m_port = 0;

    std::string toString() const
    {
        return m_host + ":" + std::to_string(m_port);
    }
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field of the name, whatever its case; empty if there is none.
std::string fieldOf(const Fields &fields, const std::string &name);

struct Request
{
    std::string m_method;
    std::string m_target;
    Fields m_fields;
    std::string m_body;

    std::string path() const;
    std::string query(const std::string &name) const;
};

/// A connected socket with a read buffer. Closes the socket when it is destroyed.
class Stream
{
public:
    explicit Stream(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    /// Why a read has ended.
    enum class End {
        None,
        Closed, ///< The peer closed the connection in order.
        Reset,
        Timeout,
    };

    bool write(const std::string &bytes);
    /// Reads more bytes into the buffer. Returns false and sets end() if there are none.
    bool fill(Clock::time_point deadline);
    /// Reads a line without its end; empty if the stream ended.
    std::optional<std::string> readLine(Clock::time_point deadline);
    bool readExactly(std::size_t count, std::string &bytes, Clock::time_point deadline);
    /// Returns whether the peer has closed or reset the connection.
    bool isPeerGone() const;
    void reset();
    int descriptor() const
    {
        return m_descriptor;
    }
    End end() const
    {
        return m_end;
    }

private:
    int m_descriptor;
    std::string m_buffer;
    End m_end = End::None;
};

/// Connects within the time; null if that fails.
std::shared_ptr<Stream> dial(const Address &address, Milliseconds timeout);

/// An answer as a client saw it.
struct Answer
{
    int m_status = 0; ///< 0 if no head arrived.
    Fields m_fields;
    std::string m_body;
    bool m_isComplete = false; ///< The body has ended as its framing demands.
    Stream::End m_end = Stream::End::None;

    std::string describe() const;
};

std::string encodeRequest(const Request &request);
/// Reads the answer to a request that was written to the stream.
Answer readAnswer(Stream &stream, Clock::time_point deadline);
/// Sends a request on a new connection and reads the answer.
Answer exchange(const Address &address, const Request &request, Milliseconds timeout);

/// Accepts connections and serves each on a thread of its own until the handler returns false or the peer closes.
class Server
{
public:
    using Handler = std::function<bool(const std::shared_ptr<Stream> &stream, const Request &request)>;

    Server(Address address, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Returns whether the address could be bound.
    bool start();
    /// Stops accepting and resets all connections.
    void stop();

private:
    struct State;
    void serve(const std::shared_ptr<Stream> &stream);

    Address m_address;
    Handler m_handler;
    std::shared_ptr<State> m_state;
    std::thread m_thread;
};

std::string encodeAnswer(int status, Fields fields, const std::string &body);

}
