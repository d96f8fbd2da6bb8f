#include "Platform/endpoint_process.h"

#include <algorithm>

namespace pistachiolatch::test {

namespace {
    /// Where the reporters of endpoint processes listen; nobody connects to them.
    constexpr int firstReporter = 100;

    std::vector<std::string> makeArguments(const std::string& id, const std::string& address, const endpoint_process::options& options)
    {
        std::vector<std::string> arguments { "--id", id, "--address", address, "--service", options.service, "--delay-ms", std::to_string(options.delay.count()) };
        if (!options.stage.empty())
            arguments.insert(arguments.end(), { "--stage", options.stage });
        if (options.refuses)
            arguments.emplace_back("--refuse");
        return arguments;
    }
}

endpoint_process::endpoint_process(platform_fleet& fleet, int n, const options& options)
    : m_reporter(std::make_unique<fake_endpoint>(fmt::format("endpoint-{}", n), fleet.endpointAddress(firstReporter + n), options.service, options.stage))
    , m_process(PISTACHIOLATCH_BUILD_FOLDER "/platform-endpoint", makeArguments(m_reporter->id(), fleet.endpointAddress(n), options), fmt::format("{}/endpoint-{}", fleet.folder(), n))
{
    m_reporter->setReportedAddress(fleet.endpointAddress(n));
}

endpoint_processes::endpoint_processes(platform_fleet& fleet, const std::vector<endpoint_process::options>& endpoints)
    : m_endpoints(start(fleet, endpoints))
    , m_reporter(fleet, reporters())
{
}

std::vector<std::unique_ptr<endpoint_process>> endpoint_processes::start(platform_fleet& fleet, const std::vector<endpoint_process::options>& endpoints)
{
    std::vector<std::unique_ptr<endpoint_process>> started;
    for (const auto& options : endpoints)
        started.push_back(std::make_unique<endpoint_process>(fleet, static_cast<int>(started.size()) + 1, options));
    return started;
}

std::vector<fake_endpoint*> endpoint_processes::reporters() const
{
    std::vector<fake_endpoint*> all;
    for (const auto& endpoint : m_endpoints)
        all.push_back(&endpoint->reporter());
    return all;
}

void endpoint_processes::pauseAll() const
{
    for (const auto& endpoint : m_endpoints)
        endpoint->pause();
}

void endpoint_processes::resumeAll() const
{
    for (const auto& endpoint : m_endpoints)
        endpoint->resume();
}

bool endpoint_processes::areKnownTo(const std::string& entryLog) const
{
    return std::all_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& endpoint) { return entryLog.find("event=endpoint_known endpoint=" + endpoint->reporter().id() + " ") != std::string::npos; });
}

} // namespace pistachiolatch::test
