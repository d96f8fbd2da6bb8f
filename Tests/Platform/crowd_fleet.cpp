#include "Platform/crowd_fleet.h"

#include "platform_names.h"
#include <boost/json.hpp>
#include <sys/resource.h>

namespace pistachiolatch::test {

namespace {
    constexpr std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;

    std::string makeConfiguration()
    {
        constexpr std::uint64_t tokensPerSecond = 10'000'000;
        auto configuration = boost::json::parse(exampleConfiguration(7, tokensPerSecond)).as_object();
        configuration["limits"].as_object()["maxBodyBytes"] = maxBodyBytes;
        return boost::json::serialize(configuration);
    }

    void limitDescriptors(const child_process& process)
    {
        rlimit limit { crowd_fleet::maxDescriptors, crowd_fleet::maxDescriptors };
        if (::prlimit(process.pid(), RLIMIT_NOFILE, &limit, nullptr) != 0)
            throw std::runtime_error("can't limit the descriptors of a process");
    }
}

crowd_fleet::crowd_fleet()
{
    m_fleet.setMemory(memoryMb);
    m_fleet.setMaxDescriptors(maxDescriptors);
    m_fleet.start();
    limitDescriptors(m_fleet.control(1));
    limitDescriptors(m_fleet.entry(1));
    m_endpoint = std::make_unique<fake_endpoint>("app-1", m_fleet.endpointAddress(1), "app", "");
    if (m_fleet.submitConfiguration(makeConfiguration()) != 200)
        throw std::runtime_error("the configuration was not accepted");
    m_reporter = std::make_unique<endpoint_reporter>(m_fleet, std::vector<fake_endpoint*> { m_endpoint.get() });
    if (!eventually([&] { return m_fleet.isEntryReady(1); }) || !isCallServed())
        throw std::runtime_error("the entry did not become ready");
    m_entryMonitor = std::make_unique<process_monitor>(m_fleet.entry(1).pid(), m_fleet.entryIp(1));
    m_controlMonitor = std::make_unique<process_monitor>(m_fleet.control(1).pid(), m_fleet.controlIp(1));
}

bool crowd_fleet::isCallServed()
{
    return eventually([&] {
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, fmt::format("ordinary-{}", ++m_calls) }, { platform_names::deadlineMs, "5000" } };
        return m_fleet.call(m_fleet.entryAddress(1), "POST", "/book/ordinary", headers, "kit").status == 200;
    });
}

bool crowd_fleet::isReadyAnswered()
{
    return eventually([&] { return m_fleet.isEntryReady(1); });
}

bool crowd_fleet::areMetricsAnswered()
{
    return eventually([&] { return m_fleet.call(metricsAddress(), "GET", "/metrics").status == 200; });
}

bool crowd_fleet::isReportAnswered()
{
    return eventually([&] { return m_fleet.sendReport(*m_endpoint).status == 200; });
}

} // namespace pistachiolatch::test
