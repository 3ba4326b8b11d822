/// @file The event loop that runs the HTTP connections of a process.
#pragma once

#include <utility> // Boost 1.74's awaitable.hpp uses std::exchange without including it.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Http {

using EventLoop = boost::asio::io_context;
using Socket = boost::asio::ip::tcp::socket;
using Timer = boost::asio::steady_timer;

}
