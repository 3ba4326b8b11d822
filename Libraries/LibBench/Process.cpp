/// @file Implementation of child processes with posix_spawn.

#include "LibBench/Process.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace Bench {

namespace {

constexpr Core::Duration PollInterval{10};
constexpr int SignalExitCodeBase = 128;
constexpr mode_t LogFileMode = 0644;

int decodeStatus(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : SignalExitCodeBase + WTERMSIG(status);
}

std::string readProcFile(pid_t pid, const std::string &name)
{
    std::ifstream stream("/proc/" + std::to_string(pid) + "/" + name);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

}

Core::Result<Process> Process::start(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, LogFileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A child that inherited listening sockets of the bench would keep their addresses in use after the bench closes them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);

    std::vector<char *> argv;
    argv.push_back(const_cast<char *>(program.c_str()));
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);

    pid_t pid = 0;
    const int error = ::posix_spawn(&pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        return Core::makeError(Core::ErrorCode::Unavailable, "start process", program, std::strerror(error));
    }
    return Process(pid, logFile);
}

Process::Process(pid_t pid, std::string logFile)
    : m_pid(pid)
    , m_logFile(std::move(logFile))
{
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, 0))
    , m_logFile(std::move(other.m_logFile))
    , m_exitCode(other.m_exitCode)
{
}

Process &Process::operator=(Process &&other) noexcept
{
    if (this != &other) {
        killAndReap();
        m_pid = std::exchange(other.m_pid, 0);
        m_logFile = std::move(other.m_logFile);
        m_exitCode = other.m_exitCode;
    }
    return *this;
}

Process::~Process()
{
    killAndReap();
}

void Process::killAndReap()
{
    if (m_pid == 0 || poll()) {
        return;
    }
    ::kill(m_pid, SIGKILL);
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = 0;
}

void Process::signal(int number)
{
    if (!poll()) {
        ::kill(m_pid, number);
    }
}

std::optional<int> Process::poll()
{
    if (m_exitCode || m_pid == 0) {
        return m_exitCode;
    }
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_exitCode = decodeStatus(status);
        m_pid = 0;
    }
    return m_exitCode;
}

std::optional<int> Process::wait(Core::Duration timeout)
{
    const Core::Instant deadline = Core::Clock::now() + timeout;
    while (!poll() && Core::Clock::now() < deadline) {
        std::this_thread::sleep_for(PollInterval);
    }
    return poll();
}

double Process::processorSeconds() const
{
    const std::string text = readProcFile(m_pid, "stat");
    const std::size_t nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos) {
        return 0;
    }
    std::istringstream fields(text.substr(nameEnd + 1));
    std::string skipped;
    constexpr int fieldsBeforeTimes = 11;
    for (int field = 0; field < fieldsBeforeTimes; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::size_t Process::residentBytes() const
{
    std::istringstream fields(readProcFile(m_pid, "statm"));
    std::size_t total = 0;
    std::size_t resident = 0;
    fields >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t Process::peakResidentBytes() const
{
    constexpr std::size_t bytesPerKibibyte = 1024;
    const std::string status = readProcFile(m_pid, "status");
    const std::string label = "VmHWM:";
    const std::size_t position = status.find(label);
    return position == std::string::npos ? 0 : std::stoul(status.substr(position + label.size())) * bytesPerKibibyte;
}

}
