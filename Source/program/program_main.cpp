#include "program/program_main.h"

#include <algorithm>
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <pthread.h>
#include <string_view>

namespace pistachiolatch {

namespace {
    void printError(const std::string& text)
    {
        fmt::print(stderr, "{}\n", text);
    }

    int waitForShutdown(const program_definition& program, const sigset_t& signals)
    {
        int signal = 0;
        while (true) {
            sigwait(&signals, &signal);
            if (signal != SIGHUP)
                break;
            logEvent("reloading", {});
            if (program.reload)
                program.reload();
        }
        logEvent("stopping", { { "signal", signal } });
        program.stop();
        logEvent("stopped", {});
        return exitOk;
    }
}

std::vector<char*> addSettingsFromEnvironment(const char* variable, int argc, char** argv)
{
    static char option[] = "--settings";
    std::vector<char*> arguments(argv, argv + argc);
    char* path = std::getenv(variable);
    bool hasOption = std::any_of(arguments.begin(), arguments.end(), [](const char* argument) { return std::string_view(argument) == option; });
    if (path && !hasOption) {
        arguments.push_back(option);
        arguments.push_back(path);
    }
    return arguments;
}

int runProgram(int argc, char** argv, const char* version, program_definition program)
{
    CLI::App app(program.summary, program.name);
    std::string settingsPath;
    bool checkOnly = false;
    app.add_option("--settings", settingsPath, "TOML settings file")->required();
    app.add_flag("--check", checkOnly, "check the settings and exit");
    for (const auto& flag : program.flags)
        app.add_flag(flag.name, *flag.value, flag.help);
    app.set_version_flag("--version", fmt::format("{} {}", program.name, version));
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exitOk : exitBadInput;
    }

    // Blocked before other threads start and inherit the mask, so that only sigwait() in this thread receives signals. They
    // may come while the settings are read: a reload would end the process then.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    if (!checkOnly)
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    auto reader = settings_reader::load(settingsPath);
    if (!reader) {
        printError(reader.error().message);
        return exitBadInput;
    }
    auto checked = program.check(reader.value());
    if (!checked) {
        printError(checked.error().message);
        return exitBadInput;
    }
    if (checkOnly) {
        fmt::print("{}: settings are good\n", settingsPath);
        return exitOk;
    }

    auto started = program.start();
    if (!started) {
        printError(fmt::format("{}: {}", settingsPath, started.error().message));
        return exitBadInput;
    }
    logEvent("started", { { "version", version } });
    return waitForShutdown(program, signals);
}

} // namespace pistachiolatch
