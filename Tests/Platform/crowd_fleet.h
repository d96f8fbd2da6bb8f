#pragma once
#include "Platform/platform_fleet.h"
#include "Platform/process_monitor.h"
#include "Platform/request_crowd.h"

namespace pistachiolatch::test {

/// A fleet of one control process, one entry and one endpoint on VMs with little memory and few descriptors.
class crowd_fleet {
public:
    static constexpr int memoryMb = 64;
    static constexpr int maxDescriptors = 600;
    /// Of these, the platform keeps some for files.
    static constexpr std::size_t reservedDescriptors = 200;
    static constexpr std::size_t memoryBytes = memoryMb * 1024UL * 1024;

    /// Returns once the entry is ready.
    crowd_fleet();

    platform_fleet& processes() { return m_fleet; }
    std::string metricsAddress() const { return m_fleet.entryIp(1) + ":9464"; }
    std::string relayAddress() const { return m_fleet.entryIp(1) + ":7515"; }
    /// Repeats an ordinary call, as a caller does after a refusal, until it is served. Returns whether it was.
    bool isCallServed();
    /// The same for a question whether the entry is ready, for its metrics, and for a report at the control process.
    bool isReadyAnswered();
    bool areMetricsAnswered();
    bool isReportAnswered();
    process_monitor& entryMonitor() { return *m_entryMonitor; }
    process_monitor& controlMonitor() { return *m_controlMonitor; }

private:
    platform_fleet m_fleet { 1, 1 };
    std::unique_ptr<fake_endpoint> m_endpoint;
    std::unique_ptr<endpoint_reporter> m_reporter;
    std::unique_ptr<process_monitor> m_entryMonitor;
    std::unique_ptr<process_monitor> m_controlMonitor;
    int m_calls = 0;
};

} // namespace pistachiolatch::test
