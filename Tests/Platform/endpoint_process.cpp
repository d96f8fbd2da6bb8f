#include "Platform/endpoint_process.h"

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

} // namespace pistachiolatch::test
