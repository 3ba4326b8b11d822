/// @file Options of one measured burst.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Burst {

struct Options
{
    std::string m_programs; ///< Directory of the binaries.
    int m_agents = 16;
    std::string m_policy = "bytes";
    std::string m_strategy = "swarm";
    std::uint64_t m_mebibytes = 8;
    /// Rate of an instance's link in each direction, in KiB per second. The rates of other links are scaled in proportion.
    std::uint64_t m_linkKibibytes = 1024;
    std::uint32_t m_chunkKibibytes = 64;
    int m_killPercent = 0;
    int m_corruptPercent = 0;
    int m_stallPercent = 0;
    double m_downAfterCopies = 0; ///< The origin goes down after this many copies; 0 means never.
    double m_liveRate = 0; ///< Requests per second during the burst; 0 means none.
    double m_timeoutSeconds = 300;
    std::string m_plotFile;
    std::string m_keepDirectory; ///< Directory for logs and dumps; empty if they are not kept.
    bool m_isDirect = false; ///< Runs without the gateway that shapes links.
};

/// Parses the command line. Returns nothing after printing the help text or an error.
std::optional<Options> parseOptions(int argc, char **argv);

}
