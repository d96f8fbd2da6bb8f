#include "Support/child_process.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <linux/close_range.h>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace pistachiolatch::test {

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments, const std::string& outputPrefix, const environment& variables)
{
    std::vector<char*> argv { const_cast<char*>(program.c_str()) };
    for (const auto& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    auto out = outputPrefix + ".out";
    auto err = outputPrefix + ".log";
    std::array<int, 2> untilExec {};
    if (::pipe2(untilExec.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("cannot create a pipe for a child process");
    m_pid = ::fork();
    if (m_pid != 0) {
        ::close(untilExec[1]);
        // Until the child has closed what it inherits, a signal that stops it would keep the addresses of this process in use.
        char byte = 0;
        while (m_pid > 0 && ::read(untilExec[0], &byte, 1) < 0 && errno == EINTR) { }
        ::close(untilExec[0]);
        if (m_pid < 0)
            throw std::runtime_error(fmt::format("cannot start {}: fork failed", program));
        return;
    }
    // The kernel kills this process when the test process dies.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(::open(out.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600), STDOUT_FILENO);
    ::dup2(::open(err.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600), STDERR_FILENO);
    // The sockets of the test's own endpoints would otherwise stay open, and their addresses in use, for as long as this process.
    ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    // A write beyond RLIMIT_FSIZE must fail, as on a full disk, instead of ending the process.
    ::signal(SIGXFSZ, SIG_IGN);
    for (const auto& [name, value] : variables)
        ::setenv(name.c_str(), value.c_str(), 1);
    ::execv(program.c_str(), argv.data());
    ::_exit(127);
}

std::size_t child_process::residentBytes() const
{
    std::ifstream statistics(fmt::format("/proc/{}/statm", m_pid));
    std::size_t totalPages = 0;
    std::size_t residentPages = 0;
    statistics >> totalPages >> residentPages;
    return residentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

child_process::child_process(child_process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    if (this != &other) {
        kill();
        m_pid = std::exchange(other.m_pid, -1);
    }
    return *this;
}

child_process::~child_process()
{
    kill();
}

bool child_process::isRunning()
{
    siginfo_t ended {};
    return m_pid > 0 && ::waitid(P_PID, static_cast<id_t>(m_pid), &ended, WEXITED | WNOHANG | WNOWAIT) == 0 && ended.si_pid == 0;
}

void child_process::refuseWrites(bool refuse) const
{
    rlimit limit {};
    if (::prlimit(m_pid, RLIMIT_FSIZE, nullptr, &limit) != 0)
        throw std::runtime_error("cannot read the file size limit of a child process");
    limit.rlim_cur = refuse ? 0 : limit.rlim_max;
    if (::prlimit(m_pid, RLIMIT_FSIZE, &limit, nullptr) != 0)
        throw std::runtime_error("cannot set the file size limit of a child process");
}

bool child_process::blocksSignal(int number) const
{
    constexpr std::string_view field = "SigBlk:";
    auto status = readFile(fmt::format("/proc/{}/status", m_pid));
    auto at = status.find(field);
    if (at == std::string::npos)
        return false;
    auto blocked = std::stoull(status.substr(at + field.size()), nullptr, 16);
    return (blocked >> (number - 1) & 1U) != 0;
}

void child_process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

int child_process::wait()
{
    int status = 0;
    if (m_pid <= 0)
        return -1;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void child_process::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    wait();
}

std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::stringstream content;
    content << file.rdbuf();
    return content.str();
}

command_output runToEnd(const std::string& program, const std::vector<std::string>& arguments, const std::string& scratchPrefix)
{
    ::unlink((scratchPrefix + ".out").c_str());
    ::unlink((scratchPrefix + ".log").c_str());
    child_process process(program, arguments, scratchPrefix);
    command_output output;
    output.code = process.wait();
    output.out = readFile(scratchPrefix + ".out");
    output.err = readFile(scratchPrefix + ".log");
    return output;
}

} // namespace pistachiolatch::test
