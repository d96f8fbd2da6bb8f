#pragma once
#include "Platform/fake_endpoint.h"
#include "Support/child_process.h"
#include "Support/fleet.h"
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace pistachiolatch::test {

/// A range of loopback addresses reserved for this test by a listening socket. Without the reservation, two concurrent
/// tests whose process IDs map to the same range would use the same ports.
class loopback_subnet {
public:
    loopback_subnet();
    /// The first two octets of the addresses.
    const std::string& prefix() const { return m_prefix; }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_prefix;
};

/// Runs the programs of the users' platform as real processes on loopback addresses, with settings rendered from the
/// deployed templates.
class platform_fleet {
public:
    explicit platform_fleet(int controls = 3, int entries = 1);
    ~platform_fleet();
    platform_fleet(const platform_fleet&) = delete;
    platform_fleet& operator=(const platform_fleet&) = delete;

    void start();
    void startControl(int n, bool firstStart);
    void startEntry(int n);
    /// Kills an entry and starts it again.
    void restartEntry(int n);
    /// Kills the leader and starts it again once another control process leads. Returns whether there was one and is one.
    bool replaceLeader();
    /// States the memory of VMs, in MB, to processes that are started from now on; 0 states none.
    void setMemory(int megabytes) { m_memoryMb = megabytes; }
    /// States the descriptors that processes may have to those that are started from now on; 0 states none.
    void setMaxDescriptors(int count) { m_maxDescriptors = count; }
    /// Has entries that are started from now on run with sockets that partitionEntry() can cut.
    void makePartitionable() { m_partitionable = true; }
    /// Has control processes that are started from now on run with sockets that partitionControl() can cut and disks that
    /// delaySyncs() can slow down.
    void makeControlsPartitionable() { m_controlsPartitionable = true; }
    /// Has an entry that is started from now on share one link of this many bytes a second in each direction among its callers,
    /// the endpoints and control. Callers then use callerAddress(). Precondition: the proxy outlives the fleet's processes.
    void narrowLink(int n, fault_proxy& proxy, std::size_t bytesPerSecond);
    /// Cuts an entry from the endpoints in a mode of partitioned_sockets.cpp, or lifts the cut if the mode is empty.
    /// Precondition: makePartitionable() was called before the entry was started.
    void partitionEntry(int n, const std::string& mode) const;
    /// The same for the processes at the given IP addresses, or prefixes of such.
    void partitionEntry(int n, const std::string& mode, const std::vector<std::string>& addresses) const;
    /// Cuts a control process from the processes at the given IP addresses, or lifts the cut if the mode is empty. Connections that
    /// were opened there count too, if their processes are partitionable. Precondition: makeControlsPartitionable() was called
    /// before it was started.
    void partitionControl(int n, const std::string& mode, const std::vector<std::string>& addresses = {}) const;
    /// Has each sync of a control process take this much longer. Precondition: makeControlsPartitionable() was called before it was
    /// started.
    void delaySyncs(int n, milliseconds delay) const;
    /// Deletes the data of a control process. Precondition: it is not running.
    void eraseControlData(int n) const;
    /// Sends a request and reads the response, which is marked as broken if it is incomplete.
    simple_response call(const std::string& address, const std::string& method, const std::string& target, const http_headers& headers = {},
        const std::string& body = {}, milliseconds timeout = milliseconds(20000)) const;
    /// Sends an endpoint's status report to a control process.
    simple_response sendReport(fake_endpoint& endpoint, const std::string& state = "ready", int control = 1) const;
    /// Sends a call of an endpoint, with this end of its path, to each control process in turn.
    std::vector<simple_response> callControls(const std::string& method, const std::string& id, const std::string& body) const;
    /// Submits a configuration, with retries until it is acknowledged or rejected. Returns the last status.
    unsigned submitConfiguration(const std::string& body) const;
    bool isEntryReady(int n) const;
    /// The VM whose control process leads according to its log, or 0. Skips the VM whose process was killed, if given.
    int findLeader(int killed = 0) const;

    std::string controlAddress(int n) const { return controlIp(n) + ":8367"; }
    std::string entryAddress(int n) const { return entryIp(n) + ":8360"; }
    /// The address at which callers reach an entry: that of its link, if narrowLink() was called.
    std::string callerAddress(int n) const { return m_narrowed.count(n) ? linkIp(n, callerHost) + ":8360" : entryAddress(n); }
    std::string readyAddress(int n) const { return entryIp(n) + ":8365"; }
    std::string fetchMetrics(const std::string& ip) const { return call(ip + ":9464", "GET", "/metrics").body; }
    std::string controlIp(int n) const { return m_subnet + ".1." + std::to_string(n); }
    std::string entryIp(int n) const { return m_subnet + ".2." + std::to_string(n); }
    std::string endpointAddress(int n) const { return m_subnet + ".3." + std::to_string(n) + ":8080"; }
    child_process& control(int n) { return m_controls[n]; }
    child_process& entry(int n) { return m_entries[n]; }
    int controls() const { return m_controlCount; }
    int entries() const { return m_entryCount; }
    const std::string& folder() const { return m_folder; }

private:
    static constexpr int callerHost = 250;
    /// An address of the proxy that is an entry's link: the endpoints', those of control processes behind them, and the callers'.
    std::string linkIp(int n, int host) const { return fmt::format("{}.{}.{}", m_subnet, 10 + n, host); }
    std::string partitionFile(const std::string& process) const;
    std::string syncDelayFile(int n) const { return fmt::format("{}/control-{}.sync-delay", m_folder, n); }
    void partition(const std::string& process, const std::string& mode, const std::vector<std::string>& addresses) const;
    std::string writeSettings(const std::string& role, const std::string& ip, int n, bool firstStart) const;

    int m_controlCount;
    int m_entryCount;
    bool m_partitionable = false;
    bool m_controlsPartitionable = false;
    int m_memoryMb = 0;
    int m_maxDescriptors = 0;
    std::set<int> m_narrowed;
    mutable std::mutex m_partitionMutex;
    loopback_subnet m_reservedSubnet;
    std::string m_subnet;
    std::string m_folder;
    std::map<int, child_process> m_controls;
    std::map<int, child_process> m_entries;
};

/// Reports endpoints periodically, to one control process after the other, until it is destroyed.
class endpoint_reporter {
public:
    /// Precondition: the fleet and the endpoints outlive the reporter.
    endpoint_reporter(platform_fleet& fleet, std::vector<fake_endpoint*> endpoints);
    ~endpoint_reporter();
    endpoint_reporter(const endpoint_reporter&) = delete;
    endpoint_reporter& operator=(const endpoint_reporter&) = delete;

private:
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

/// A configuration with a plain service ("app"), a model service ("llm"), an organisation with key "key-1", and routes:
/// /read/ is idempotent, /book/ is not, /once/ is a stream that must not be resumed, /report/ is a resumable stream.
std::string exampleConfiguration(std::uint64_t version, std::uint64_t ratePerS = 100000);

} // namespace pistachiolatch::test
