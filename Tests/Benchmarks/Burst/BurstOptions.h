/// @file What one measured burst is to be like.
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
    std::uint64_t m_linkKibibytes = 1024; ///< Rate of an instance's link each way, a second; the other links keep their proportion to it.
    std::uint32_t m_chunkKibibytes = 64;
    int m_killPercent = 0;
    int m_corruptPercent = 0;
    int m_stallPercent = 0;
    double m_downAfterCopies = 0; ///< The origin goes down after as many copies; 0 means never.
    double m_liveRate = 0; ///< Requests a second beside the burst; 0 means none.
    double m_timeoutSeconds = 300;
    std::string m_plotFile;
    std::string m_keepDirectory; ///< Where logs and dumps go if given.
    bool m_isDirect = false; ///< Without the gateway that shapes links.
};

/// Reads the command line; empty after help or wrong usage, which it prints.
std::optional<Options> parseOptions(int argc, char **argv);

}
