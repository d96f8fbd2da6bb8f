#pragma once
#include <string>
#include <sys/types.h>
#include <vector>

namespace pistachiolatch::test {

/// A process that a test started, with its output in files. The destructor kills it.
class child_process {
public:
    using environment = std::vector<std::pair<std::string, std::string>>;

    child_process() = default;
    /// Returns once the program runs. The variables are added to the environment of this process.
    child_process(const std::string& program, const std::vector<std::string>& arguments, const std::string& outputPrefix, const environment& variables = {});
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    pid_t pid() const { return m_pid; }
    bool isRunning();
    /// Makes every write to a file fail, as on a full disk, or succeed again. Output to files is lost in the meantime.
    /// Precondition: running.
    void refuseWrites(bool refuse) const;
    /// Whether the process has blocked a signal, as programs do before they read their settings. Precondition: running.
    bool blocksSignal(int number) const;
    /// The memory that the process uses, in bytes. Precondition: running.
    std::size_t residentBytes() const;
    /// Sends a signal. Precondition: running.
    void signal(int number) const;
    /// Waits until the process exits. Returns its exit code, or the negated number of the signal that ended it.
    int wait();
    /// Sends SIGKILL and waits until the process has ended.
    void kill();

private:
    pid_t m_pid = -1;
};

/// The exit code and output of a command.
struct command_output {
    int code = -1;
    std::string out;
    std::string err;
};

/// Runs a program until it exits. Its output goes through files whose paths begin with scratchPrefix.
command_output runToEnd(const std::string& program, const std::vector<std::string>& arguments, const std::string& scratchPrefix);

std::string readFile(const std::string& path);

} // namespace pistachiolatch::test
