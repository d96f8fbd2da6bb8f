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
    void printLines(const std::string& text)
    {
        fmt::print(stderr, "{}\n", text);
    }

    int waitForEnd(const program_definition& body, const sigset_t& signals)
    {
        int signal = 0;
        while (true) {
            sigwait(&signals, &signal);
            if (signal != SIGHUP)
                break;
            logEvent("reloading", {});
            if (body.reload)
                body.reload();
        }
        logEvent("stopping", { { "signal", signal } });
        body.stop();
        logEvent("stopped", {});
        return exitOk;
    }
}

std::vector<char*> addSettingsFromEnvironment(const char* variable, int argc, char** argv)
{
    static char option[] = "--settings";
    std::vector<char*> arguments(argv, argv + argc);
    char* path = std::getenv(variable);
    bool named = std::any_of(arguments.begin(), arguments.end(), [](const char* one) { return std::string_view(one) == option; });
    if (path && !named) {
        arguments.push_back(option);
        arguments.push_back(path);
    }
    return arguments;
}

int runProgram(int argc, char** argv, const char* version, program_definition body)
{
    CLI::App app(body.summary, body.name);
    std::string settingsPath;
    bool checkOnly = false;
    app.add_option("--settings", settingsPath, "TOML settings file")->required();
    app.add_flag("--check", checkOnly, "check the settings and exit");
    for (const auto& flag : body.flags)
        app.add_flag(flag.name, *flag.value, flag.help);
    app.set_version_flag("--version", fmt::format("{} {}", body.name, version));
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exitOk : exitBadInput;
    }

    auto reader = settings_reader::load(settingsPath);
    if (!reader) {
        printLines(reader.error().message);
        return exitBadInput;
    }
    auto checked = body.check(reader.value());
    if (!checked) {
        printLines(checked.error().message);
        return exitBadInput;
    }
    if (checkOnly) {
        fmt::print("{}: settings are good\n", settingsPath);
        return exitOk;
    }

    // Signals are blocked before any thread starts, so that only this thread takes them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    auto started = body.start();
    if (!started) {
        printLines(fmt::format("{}: {}", settingsPath, started.error().message));
        return exitBadInput;
    }
    logEvent("started", { { "version", version } });
    return waitForEnd(body, signals);
}

} // namespace pistachiolatch
