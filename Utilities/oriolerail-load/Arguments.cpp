/// @file Implementation of the command line with cxxopts.

#include "Arguments.h"

#include "LibCore/Random.h"

#include <cxxopts.hpp>
#include <sstream>

namespace {

constexpr std::uint32_t DefaultConcurrency = 256;
constexpr std::uint32_t MaximumConcurrency = 8192;
constexpr std::uint64_t MaximumCount = 100000000;
constexpr double MaximumSeconds = 86400;

Core::Error usage(const std::string &detail)
{
    return Core::makeError(Core::ErrorCode::InvalidInput, "read command line", "", detail);
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, separator)) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

Core::Result<std::vector<Core::Address>> parseEntries(const std::string &text)
{
    std::vector<Core::Address> entries;
    for (const std::string &part : split(text, ',')) {
        entries.push_back(BOOST_OUTCOME_TRYX(Core::parseAddress(part)));
    }
    if (entries.empty()) {
        return usage("--entries names no address");
    }
    return entries;
}

/// Parses a comma-separated list of NAME or NAME:WEIGHT.
Core::Result<std::vector<Load::AccountWeight>> parseAccounts(const std::string &text)
{
    std::vector<Load::AccountWeight> accounts;
    for (const std::string &part : split(text, ',')) {
        const std::size_t colon = part.find(':');
        double weight = 1;
        if (colon != std::string::npos) {
            std::istringstream number(part.substr(colon + 1));
            if (!(number >> weight) || !(weight > 0)) {
                return usage("--accounts: the weight in " + part + " is no positive number");
            }
        }
        accounts.push_back(Load::AccountWeight{part.substr(0, colon), weight});
    }
    if (accounts.empty()) {
        return usage("--accounts names no account");
    }
    return accounts;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("oriolerail-load", "Sends requests to a fleet and judges the answers. Exit code 0: all well, 1: not, 2: usage.");
    options.add_options("whom")("entries", "entries to ask for addresses, IP:PORT,...", cxxopts::value<std::string>())(
        "bind", "source IP number", cxxopts::value<std::string>()->default_value(""))(
        "gateway", "CONNECT gateway, IP:PORT", cxxopts::value<std::string>()->default_value(""))(
        "callers", "callers that keep addresses of their own", cxxopts::value<std::uint32_t>()->default_value("8"));
    options.add_options("what")("template", "template to generate with", cxxopts::value<std::string>()->default_value(""))(
        "service", "plain service to call", cxxopts::value<std::string>()->default_value(""))(
        "service-share", "share of calls if both are given", cxxopts::value<double>()->default_value("0.5"))(
        "path", "path of the calls", cxxopts::value<std::string>()->default_value("effects"))("keyed", "calls may not be repeated: each carries a key")(
        "accounts", "client accounts, NAME or NAME:WEIGHT,...", cxxopts::value<std::string>()->default_value("load"))(
        "max-tokens", "tokens of each answer", cxxopts::value<std::uint32_t>()->default_value("8"))(
        "prefixes", "different prompt prefixes of each account; 0: none is shared", cxxopts::value<std::uint32_t>()->default_value("0"))(
        "prompt-bytes", "least length of a prompt", cxxopts::value<std::uint32_t>()->default_value("0"))(
        "priority", "priority of the requests", cxxopts::value<std::int32_t>()->default_value("0"));
    options.add_options("how much")("rate", "requests a second (open loop); 0: closed loop", cxxopts::value<double>()->default_value("0"))(
        "even", "equal gaps instead of a Poisson process")("concurrency", "requests at once", cxxopts::value<std::uint32_t>())(
        "count", "requests in all; 0: no limit", cxxopts::value<std::uint64_t>()->default_value("0"))(
        "seconds", "time of arrivals; 0: no limit", cxxopts::value<double>()->default_value("0"))(
        "timeout-ms", "deadline of each request", cxxopts::value<std::int64_t>()->default_value("30000"))(
        "retries", "further tries of what may be repeated", cxxopts::value<std::uint32_t>()->default_value("2"))(
        "honour-retry-after", "come back when a refusal says")("seed", "of arrivals and choices", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options("result")("output", "text or json", cxxopts::value<std::string>()->default_value("text"))(
        "csv", "one row for each request", cxxopts::value<std::string>()->default_value(""))(
        "record", "write the requests and their outcomes as a trace", cxxopts::value<std::string>()->default_value(""))(
        "replay", "send the requests of a trace and compare outcomes", cxxopts::value<std::string>()->default_value(""))(
        "allow-failed", "failed requests that do not fail the run", cxxopts::value<std::uint64_t>()->default_value("0"))("help", "print this text");
    return options;
}

Core::Result<void> checkBounds(const Arguments &arguments)
{
    const Load::Workload &mix = arguments.m_workload;
    if (arguments.m_run.m_concurrency == 0 || arguments.m_run.m_concurrency > MaximumConcurrency) {
        return usage("--concurrency: expected 1 to " + std::to_string(MaximumConcurrency));
    }
    if (mix.m_timeout.count() <= 0 || mix.m_count > MaximumCount || !(mix.m_rate >= 0)) {
        return usage("--timeout-ms, --count or --rate is out of range");
    }
    if (!arguments.m_replayFile.empty()) {
        return Core::success();
    }
    if (mix.m_template.empty() && mix.m_service.empty()) {
        return usage("--template or --service must be given");
    }
    if (mix.m_count == 0 && mix.m_duration.count() == 0) {
        return usage("--count or --seconds must be given");
    }
    if (mix.m_rate == 0 && mix.m_count == 0) {
        return usage("a closed loop needs --count");
    }
    return Core::success();
}

Core::Result<Load::CallerSettings> readCallers(const cxxopts::ParseResult &parsed, const std::string &marker)
{
    Load::CallerSettings callers;
    callers.m_entries = BOOST_OUTCOME_TRYX(parseEntries(parsed["entries"].as<std::string>()));
    callers.m_network.m_bindHost = parsed["bind"].as<std::string>();
    const std::string gateway = parsed["gateway"].as<std::string>();
    if (!gateway.empty()) {
        callers.m_network.m_gateway = BOOST_OUTCOME_TRYX(Core::parseAddress(gateway));
    }
    callers.m_retries = parsed["retries"].as<std::uint32_t>();
    callers.m_honoursRetryAfter = parsed.count("honour-retry-after") > 0;
    callers.m_marker = marker;
    return callers;
}

Core::Result<Load::Workload> readWorkload(const cxxopts::ParseResult &parsed, const std::string &marker)
{
    Load::Workload mix;
    mix.m_template = parsed["template"].as<std::string>();
    mix.m_service = parsed["service"].as<std::string>();
    mix.m_serviceShare = parsed["service-share"].as<double>();
    mix.m_path = parsed["path"].as<std::string>();
    mix.m_accounts = BOOST_OUTCOME_TRYX(parseAccounts(parsed["accounts"].as<std::string>()));
    mix.m_rate = parsed["rate"].as<double>();
    mix.m_isPoisson = parsed.count("even") == 0;
    mix.m_count = parsed["count"].as<std::uint64_t>();
    const double seconds = parsed["seconds"].as<double>();
    if (!(seconds >= 0 && seconds <= MaximumSeconds)) {
        return usage("--seconds is out of range");
    }
    mix.m_duration = std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(seconds));
    mix.m_maximumTokens = parsed["max-tokens"].as<std::uint32_t>();
    mix.m_prefixes = parsed["prefixes"].as<std::uint32_t>();
    mix.m_promptBytes = parsed["prompt-bytes"].as<std::uint32_t>();
    mix.m_priority = parsed["priority"].as<std::int32_t>();
    mix.m_isKeyed = parsed.count("keyed") > 0;
    mix.m_timeout = Core::Duration(parsed["timeout-ms"].as<std::int64_t>());
    mix.m_seed = parsed["seed"].as<std::uint64_t>();
    mix.m_marker = marker;
    return mix;
}

Core::Result<Arguments> readArguments(const cxxopts::ParseResult &parsed)
{
    constexpr std::size_t markerDigits = 16;
    const std::string marker = Core::randomIdentifier().substr(0, markerDigits);
    Arguments arguments;
    arguments.m_workload = BOOST_OUTCOME_TRYX(readWorkload(parsed, marker));
    arguments.m_run.m_callers = BOOST_OUTCOME_TRYX(readCallers(parsed, marker));
    arguments.m_run.m_callerCount = parsed["callers"].as<std::uint32_t>();
    arguments.m_run.m_seed = arguments.m_workload.m_seed;
    const std::string output = parsed["output"].as<std::string>();
    if (output != "json" && output != "text") {
        return usage("--output: expected text or json");
    }
    arguments.m_printsJson = output == "json";
    arguments.m_csvFile = parsed["csv"].as<std::string>();
    arguments.m_recordFile = parsed["record"].as<std::string>();
    arguments.m_replayFile = parsed["replay"].as<std::string>();
    arguments.m_allowedFailures = parsed["allow-failed"].as<std::uint64_t>();
    arguments.m_run.m_isClosedLoop = arguments.m_replayFile.empty() && arguments.m_workload.m_rate == 0;
    arguments.m_run.m_concurrency = parsed.count("concurrency") > 0 ? parsed["concurrency"].as<std::uint32_t>() : DefaultConcurrency;
    BOOST_OUTCOME_TRYV(checkBounds(arguments));
    return arguments;
}

}

Core::Result<Arguments> parseArguments(int argumentCount, const char *const *arguments)
{
    try {
        cxxopts::Options options = makeOptions();
        const cxxopts::ParseResult parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help") > 0) {
            Arguments help;
            help.m_printsHelp = true;
            help.m_help = options.help();
            return help;
        }
        if (!parsed.unmatched().empty()) {
            return usage("unknown argument " + parsed.unmatched().front());
        }
        return readArguments(parsed);
    } catch (const std::exception &exception) {
        return usage(exception.what());
    }
}
