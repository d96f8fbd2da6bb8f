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

/// Command-line flag specific to one program.
struct program_flag {
    std::string name;
    std::string help;
    bool* value = nullptr;
};

/// Description and callbacks of a long-running program.
struct program_definition {
    std::string name;
    std::string summary;
    /// Reads and validates the settings. Errors: all errors found, one per line.
    std::function<result<void>(settings_reader& reader)> check;
    /// Starts all services. Errors: the error of the service that failed.
    std::function<result<void>()> start;
    /// Completes work in progress and stops all services.
    std::function<void()> stop;
    std::vector<program_flag> flags = {};
    /// Reloads the settings on SIGHUP. If empty, the signal has no effect.
    std::function<void()> reload = {};
};

/// Returns argv, with --settings added from an environment variable if the command line does not contain it.
/// Precondition: argv lives as long as the process.
std::vector<char*> addSettingsFromEnvironment(const char* variable, int argc, char** argv);

/// Parses the command line, starts the program and runs it until SIGTERM or SIGINT, which stop it gracefully. Returns the
/// exit code.
int runProgram(int argc, char** argv, const char* version, program_definition program);

} // namespace pistachiolatch
