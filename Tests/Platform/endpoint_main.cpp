// Runs a fake endpoint of the users' platform as a process that tests can stop and continue.
#include "Platform/fake_endpoint.h"

#include <CLI/CLI.hpp>
#include <csignal>

int main(int argc, char** argv)
{
    using namespace pistachiolatch;
    using namespace pistachiolatch::test;
    CLI::App program { "Runs a fake endpoint of the users' platform until it is terminated." };
    std::string id;
    std::string address;
    std::string service;
    std::string stage;
    int delayMs = 0;
    bool refuse = false;
    program.add_option("--id", id)->required();
    program.add_option("--address", address)->required();
    program.add_option("--service", service)->required();
    program.add_option("--stage", stage, "prefill, decode, or nothing for a plain service");
    program.add_option("--delay-ms", delayMs, "duration of a plain request and of each event of a stream");
    program.add_flag("--refuse", refuse, "refuses all requests as not executed");
    CLI11_PARSE(program, argc, argv);

    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &ends, nullptr);
    fake_endpoint endpoint(id, address, service, stage);
    endpoint.setDelay(milliseconds(delayMs));
    if (refuse)
        endpoint.setMode(fake_endpoint_mode::RejectNotExecuted);
    int signal = 0;
    sigwait(&ends, &signal);
    return 0;
}
