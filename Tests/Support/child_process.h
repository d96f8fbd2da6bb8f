#pragma once
#include <string>
#include <sys/types.h>
#include <vector>

namespace pistachiolatch::test {

/// A program that a test started. Its output goes to files; it is killed when the test ends.
class child_process {
public:
    child_process() = default;
    child_process(const std::string& program, const std::vector<std::string>& arguments, const std::string& outputPrefix);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    bool isRunning();
    /// Has every write to a file fail, as on a full disk, or succeed again. Output that goes to a file is lost meanwhile.
    /// Precondition: running.
    void refuseWrites(bool refuse) const;
    /// Sends a signal. Precondition: running.
    void signal(int number) const;
    /// Waits for its end and returns its exit code, or minus the signal that ended it.
    int wait();
    /// Kills it and waits for its end.
    void kill();

private:
    pid_t m_pid = -1;
};

/// What a command printed and returned.
struct command_output {
    int code = -1;
    std::string out;
    std::string err;
};

/// Runs a program to its end.
command_output runToEnd(const std::string& program, const std::vector<std::string>& arguments, const std::string& scratchPrefix);

std::string readFile(const std::string& path);

} // namespace pistachiolatch::test
