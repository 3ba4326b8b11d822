/// @file oriolerail: the operators' program. Publishes templates and shows what is in force.

#include "Command.h"
#include "LibCore/Version.h"

#include <csignal>
#include <cxxopts.hpp>
#include <glog/logging.h>
#include <iostream>
#include <map>
#include <unistd.h>

namespace {

constexpr std::string_view Usage = R"(
Commands:
  validate FILE...     check template documents
  publish FILE         put a template in force (--operator --log --origin [--based-on] [--wait --entries])
  remove NAME          take a template out of force (--operator --log [--based-on])
  status               show what is in force (--entries [--watch])
  dump IP:PORT         show the state of the process with this administrative address
  addresses IP:PORT    ask an entry for addresses, as callers do
  explain WHAT NAME    why a record was refused (WHAT = record), or where an account's replicas are (WHAT = account) (--log)
  explain request ID FILE...
                       what the logs of processes say about a request, in order
  explain interval FROM TO FILE...
                       requests that ended in an interval, by cause; times in Unix milliseconds, or +SECONDS after the first record

Exit codes: 0 done, 1 failed, 2 wrong usage.
)";

const std::map<std::string, Cli::Command> &commands()
{
    static const std::map<std::string, Cli::Command> table = {
        {"validate", Cli::runValidate},
        {"publish", Cli::runPublish},
        {"remove", Cli::runRemove},
        {"status", Cli::runStatus},
        {"dump", Cli::runDump},
        {"addresses", Cli::runAddresses},
        {"explain", Cli::runExplain},
    };
    return table;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("oriolerail", "Puts model weights onto fleets of serving instances");
    options.custom_help("[OPTION...] COMMAND");
    options.positional_help("[ARGUMENT...]");
    cxxopts::OptionAdder add = options.add_options();
    add("operator", "who makes the change", cxxopts::value<std::string>()->default_value(""));
    add("log", "log service, IP:PORT", cxxopts::value<std::string>());
    add("origin", "weight store, IP:PORT", cxxopts::value<std::string>());
    add("entries", "administrative addresses of entries, IP:PORT,...", cxxopts::value<std::vector<std::string>>());
    add("based-on", "revision that the change is based on; the current one if not given", cxxopts::value<std::uint64_t>());
    add("wait", "wait until the change is in force on every live instance");
    add("watch", "show progress until every wanted replica serves");
    add("timeout-ms", "how long to wait at most", cxxopts::value<std::int64_t>()->default_value("30000"));
    add("bind", "source IP number of connections", cxxopts::value<std::string>()->default_value(""));
    add("gateway", "HTTP CONNECT gateway, IP:PORT", cxxopts::value<std::string>());
    add("output", "json or text", cxxopts::value<std::string>()->default_value("text"));
    add("help", "show this text");
    add("version", "show the version");
    add("command", "", cxxopts::value<std::string>());
    add("operands", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"command", "operands"});
    return options;
}

Core::Result<std::optional<Core::Address>> addressOption(const cxxopts::ParseResult &parsed, const std::string &name)
{
    if (parsed.count(name) == 0) {
        return std::optional<Core::Address>();
    }
    const Core::Address address = BOOST_OUTCOME_TRYX(Core::parseAddress(parsed[name].as<std::string>()));
    return std::optional<Core::Address>(address);
}

Core::Result<Cli::Arguments> readArguments(const cxxopts::ParseResult &parsed)
{
    constexpr std::int64_t longestTimeout = 86'400'000;
    Cli::Arguments arguments;
    const std::string output = parsed["output"].as<std::string>();
    const std::int64_t timeout = parsed["timeout-ms"].as<std::int64_t>();
    if ((output != "json" && output != "text") || timeout < 1 || timeout > longestTimeout) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read arguments", "", "--output or --timeout-ms is out of range");
    }
    arguments.m_json = output == "json";
    arguments.m_timeout = Core::Duration(timeout);
    arguments.m_isTerminal = ::isatty(STDOUT_FILENO) == 1;
    arguments.m_operator = parsed["operator"].as<std::string>();
    arguments.m_wait = parsed.count("wait") > 0;
    arguments.m_watch = parsed.count("watch") > 0;
    arguments.m_log = BOOST_OUTCOME_TRYX(addressOption(parsed, "log"));
    arguments.m_origin = BOOST_OUTCOME_TRYX(addressOption(parsed, "origin"));
    arguments.m_network.m_bindHost = parsed["bind"].as<std::string>();
    arguments.m_network.m_gateway = BOOST_OUTCOME_TRYX(addressOption(parsed, "gateway"));
    if (parsed.count("based-on") > 0) {
        arguments.m_basedOn = parsed["based-on"].as<std::uint64_t>();
    }
    if (parsed.count("entries") > 0) {
        for (const std::string &text : parsed["entries"].as<std::vector<std::string>>()) {
            arguments.m_entries.push_back(BOOST_OUTCOME_TRYX(Core::parseAddress(text)));
        }
    }
    if (parsed.count("operands") > 0) {
        arguments.m_operands = parsed["operands"].as<std::vector<std::string>>();
    }
    return arguments;
}

int run(int argumentCount, char **argumentValues)
{
    cxxopts::Options options = makeOptions();
    const cxxopts::ParseResult parsed = options.parse(argumentCount, argumentValues);
    if (parsed.count("help") > 0) {
        std::cout << options.help() << Usage;
        return Cli::ExitOk;
    }
    if (parsed.count("version") > 0) {
        std::cout << "oriolerail " << Core::Version << "\n";
        return Cli::ExitOk;
    }
    const std::string name = parsed.count("command") > 0 ? parsed["command"].as<std::string>() : "";
    const std::map<std::string, Cli::Command>::const_iterator command = commands().find(name);
    if (command == commands().end()) {
        return Cli::reportUsage(name.empty() ? "no command given" : "no command " + name);
    }
    const Core::Result<Cli::Arguments> arguments = readArguments(parsed);
    if (!arguments) {
        return Cli::reportUsage(arguments.error().message());
    }
    return command->second(arguments.value());
}

}

int main(int argumentCount, char **argumentValues)
{
    google::InitGoogleLogging("oriolerail");
    FLAGS_logtostderr = true;
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(argumentCount, argumentValues);
    } catch (const std::exception &exception) {
        return Cli::reportUsage(exception.what());
    }
}
