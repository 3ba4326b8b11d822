/// @file Headers that are slow to compile and used nearly everywhere; every target reuses this one precompiled header.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <boost/outcome.hpp>
#include <glog/logging.h>
#include <msgpack.hpp>
#include <yaml-cpp/yaml.h>
