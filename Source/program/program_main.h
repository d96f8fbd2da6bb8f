#pragma once
#include "kernel/kernel.h"
#include <functional>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Exit codes of all programs; docs/OPERATIONS.md lists them.
constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadInput = 2;

/// A flag of one program's own.
struct program_flag {
    std::string name;
    std::string help;
    bool* value = nullptr;
};

/// One long-running program.
struct program_definition {
    std::string name;
    std::string summary;
    /// Reads and checks the settings. Errors: every problem found, one a line.
    std::function<result<void>(settings_reader& reader)> check;
    /// Starts all services. Errors: what could not be started.
    std::function<result<void>()> start;
    /// Finishes the work in hand and stops all services.
    std::function<void()> stop;
    std::vector<program_flag> flags = {};
    /// Reads the settings again at SIGHUP. May be empty: the signal then changes nothing.
    std::function<void()> reload = {};
};

/// The settings file that a variable of the environment names, as arguments for runProgram(): added when the command
/// line names none. Precondition: argv lives as long as the process.
std::vector<char*> addSettingsFromEnvironment(const char* variable, int argc, char** argv);

/// Parses --help, --version, --check and --settings FILE, then runs until SIGTERM or SIGINT, which stop it
/// gracefully. Returns the exit code.
int runProgram(int argc, char** argv, const char* version, program_definition body);

} // namespace pistachiolatch
