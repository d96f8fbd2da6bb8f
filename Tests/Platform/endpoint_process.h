#pragma once
#include "Platform/fake_endpoint.h"
#include "Platform/platform_fleet.h"
#include <csignal>
#include <memory>

namespace pistachiolatch::test {

/// A fake endpoint in a process of its own. While the process is stopped, its kernel accepts connections and acknowledges data, but
/// nobody answers.
class endpoint_process {
public:
    struct options {
        std::string service = "llm";
        /// "prefill", "decode", or empty for a plain service.
        std::string stage;
        /// Duration of a plain request and of each event of a stream.
        milliseconds delay { 5 };
        bool refuses = false;
    };

    /// Starts endpoint n of the fleet. Its reports are sent by reporter(). Precondition: n is below 100.
    endpoint_process(platform_fleet& fleet, int n, const options& options);

    void pause() const { m_process.signal(SIGSTOP); }
    void resume() const { m_process.signal(SIGCONT); }
    void kill() { m_process.kill(); }
    /// Makes the reports of the process, also while it is stopped.
    fake_endpoint& reporter() { return *m_reporter; }

private:
    std::unique_ptr<fake_endpoint> m_reporter;
    child_process m_process;
};

} // namespace pistachiolatch::test
