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
    fake_endpoint& reporter() const { return *m_reporter; }

private:
    std::unique_ptr<fake_endpoint> m_reporter;
    child_process m_process;
};

/// Endpoints of a fleet in processes of their own, which report until the object is destroyed.
class endpoint_processes {
public:
    /// Starts the endpoints 1 to n of the fleet. Precondition: the fleet runs, and outlives the object.
    endpoint_processes(platform_fleet& fleet, const std::vector<endpoint_process::options>& endpoints);

    endpoint_process& at(std::size_t n) { return *m_endpoints.at(n - 1); }
    std::size_t size() const { return m_endpoints.size(); }
    void pauseAll() const;
    void resumeAll() const;
    /// Whether an entry has learnt of all of them, according to its log.
    bool areKnownTo(const std::string& entryLog) const;

private:
    static std::vector<std::unique_ptr<endpoint_process>> start(platform_fleet& fleet, const std::vector<endpoint_process::options>& endpoints);
    std::vector<fake_endpoint*> reporters() const;

    std::vector<std::unique_ptr<endpoint_process>> m_endpoints;
    endpoint_reporter m_reporter;
};

} // namespace pistachiolatch::test
