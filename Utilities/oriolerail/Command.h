/// @file Shared parts of the commands of the operators' program: arguments, exit codes and output.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Error.h"
#include "LibNetwork/NetworkSettings.h"

#include <Poco/JSON/Object.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Cli {

inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitUsage = 2;

/// Parsed command line.
struct Arguments
{
    std::vector<std::string> m_operands; ///< Arguments after the command's name.
    bool m_json = false;
    bool m_isTerminal = false; ///< Standard output is a terminal.
    std::string m_operator;
    std::optional<Core::Address> m_log;
    std::optional<Core::Address> m_origin;
    std::vector<Core::Address> m_entries; ///< Administrative addresses.
    std::optional<std::uint64_t> m_basedOn;
    bool m_wait = false;
    bool m_watch = false;
    Core::Duration m_timeout{30000};
    Network::NetworkSettings m_network;
};

/// Runs a command and returns the exit code.
using Command = std::function<int(const Arguments &)>;

int runValidate(const Arguments &arguments);
int runPublish(const Arguments &arguments);
int runRemove(const Arguments &arguments);
int runStatus(const Arguments &arguments);
int runDump(const Arguments &arguments);
int runAddresses(const Arguments &arguments);
int runExplain(const Arguments &arguments);
/// Runs "explain request" or "explain interval".
int runExplainLogs(const Arguments &arguments);

/// Prints an error to standard error, and in JSON to standard output if JSON is selected. Returns ExitFailed.
int reportError(const Arguments &arguments, const Core::Error &error);
/// Prints a usage error to standard error. Returns ExitUsage.
int reportUsage(const std::string &problem);
/// Prints the object if JSON is selected, otherwise the text.
void print(const Arguments &arguments, const Poco::JSON::Object::Ptr &object, const std::string &text);

/// Returns the body of a successful GET. Fails with NotFound on status 404 and with Unavailable on other statuses.
Core::Result<std::string> fetch(const Arguments &arguments, const Core::Address &server, const std::string &step, const std::string &target);

}
