#pragma once
#include "Platform/stand_in_runner.h"
#include "Support/child_process.h"
#include "Support/fleet.h"
#include <map>
#include <memory>

namespace pistachiolatch::test {

/// A range of loopback addresses that no other test holds at the same time. Two tests whose process ids led to the same
/// range took each other's ports; the range is reserved by a listening socket for as long as this lives.
class loopback_net {
public:
    loopback_net();
    /// The first two numbers of its addresses.
    const std::string& prefix() const { return m_prefix; }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_prefix;
};

/// The programs that run on the users' platform, as real processes on loopback addresses of their own, with settings
/// filled into the templates that are deployed.
class platform_fleet {
public:
    explicit platform_fleet(int controls = 3, int entries = 1);
    ~platform_fleet();
    platform_fleet(const platform_fleet&) = delete;
    platform_fleet& operator=(const platform_fleet&) = delete;

    void start();
    void startControl(int n, bool firstStart);
    void startEntry(int n);
    /// Empties a control's data folder. Precondition: it does not run.
    void wipeControl(int n) const;
    /// One whole exchange; broken when no whole answer came.
    simple_response call(const std::string& address, const std::string& method, const std::string& target, const http_headers& headers = {},
        const std::string& body = {}, milliseconds timeout = milliseconds(20000)) const;
    /// Has an endpoint report itself to a control.
    simple_response report(stand_in_runner& runner, const std::string& state = "ready", int control = 1) const;
    /// Submits a configuration, again until it is acknowledged. Returns the last status.
    unsigned submit(const std::string& body) const;
    bool entryReady(int n) const;

    std::string controlAddress(int n) const { return controlIp(n) + ":8367"; }
    std::string entryAddress(int n) const { return entryIp(n) + ":8360"; }
    std::string readyAddress(int n) const { return entryIp(n) + ":8365"; }
    std::string metricsOf(const std::string& ip) const { return call(ip + ":9464", "GET", "/metrics").body; }
    std::string controlIp(int n) const { return m_net + ".1." + std::to_string(n); }
    std::string entryIp(int n) const { return m_net + ".2." + std::to_string(n); }
    std::string runnerAddress(int n) const { return m_net + ".3." + std::to_string(n) + ":8080"; }
    child_process& control(int n) { return m_controls[n]; }
    child_process& entry(int n) { return m_entries[n]; }
    int controls() const { return m_controlCount; }
    int entries() const { return m_entryCount; }
    const std::string& folder() const { return m_folder; }

private:
    std::string settings(const std::string& role, const std::string& ip, int n, bool firstStart) const;

    int m_controlCount;
    int m_entryCount;
    loopback_net m_reserved;
    std::string m_net;
    std::string m_folder;
    std::map<int, child_process> m_controls;
    std::map<int, child_process> m_entries;
};

/// A configuration with a plain service ("app") and a model service ("llm"), an organisation with key "key-1", and
/// routes: /read/ may be repeated, /book/ runs once, /once/ streams once, /report/ streams and may be resumed.
std::string exampleConfiguration(std::uint64_t version, std::uint64_t ratePerS = 100000);

} // namespace pistachiolatch::test
