#pragma once
#include "http/http_client.h"
#include "Support/child_process.h"
#include "Support/fault_proxy.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pistachiolatch::test {

/// The processes and endpoints of a fleet.
struct fleet_options {
    int entries = 3;
    int schedulers = 2;
    int controls = 3;
    int disks = 3;
    int prefill = 2;
    int decode = 2;
    int services = 2;
    /// Settings lines added to each endpoint of the stand-in.
    std::string endpointLines;
    /// Routes the messages between processes through the fault proxy.
    bool proxied = false;
    /// Has delaySyncs() slow down the disks of control processes.
    bool slowDisks = false;
    /// Routes the calls to endpoints through the fault proxy.
    bool proxiedEndpoints = false;
    /// The records to apply as TOML; empty means the default ones.
    std::string records;
};

/// An HTTP response; `broken` means that it didn't arrive completely.
struct simple_response {
    unsigned status = 0;
    std::string body;
    http_headers headers;
    bool broken = false;
    std::string header(const std::string& name) const;
};

/// Runs all programs of a fleet as processes, on a loopback subnet of its own.
class fleet {
public:
    explicit fleet(fleet_options options);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts all processes, applies the records, issues a key for each organisation and waits until the fleet is ready.
    void start();
    void startEntry(int n);
    void startScheduler(int n);
    void startControl(int n, bool bootstrap = false);
    /// Has each sync of a control process take this much longer. Precondition: fleet_options::slowDisks.
    void delaySyncs(int n, milliseconds delay) const;
    /// Runs the pistachiolatch command with the operator's settings.
    command_output command(std::vector<std::string> arguments);
    /// Writes a file into the fleet's folder. Returns its path.
    std::string file(const std::string& name, const std::string& content) const;
    simple_response call(const std::string& address, const std::string& method, const std::string& target, const http_headers& headers, const std::string& body, milliseconds timeout = milliseconds(30000)) const;
    /// Requests a completion at an entry.
    simple_response complete(int entry, const std::string& prompt, std::uint32_t maxTokens, const std::string& organisation = "alpha") const;
    simple_response book(int entry, const std::string& key, const std::string& body, const std::string& organisation = "alpha") const;
    /// Replaces the faults of an endpoint by those in the JSON object.
    void setFaults(const std::string& endpoint, const std::string& json) const;
    /// Reads a number or flag from the statistics of an endpoint.
    std::int64_t stat(const std::string& endpoint, const std::string& name) const;
    /// Adds up a statistic over all model endpoints.
    std::int64_t statSum(const std::string& name) const;
    std::vector<std::string> modelEndpoints() const;
    /// Returns the value of a metric, given by its name with labels, or an empty string.
    std::string metric(const std::string& adminAddress, const std::string& line) const;

    std::string ip(int vm) const { return m_subnet + "." + std::to_string(10 + vm); }
    std::string callerAddress(int n) const { return ip(n) + ":8080"; }
    std::string entryAdminAddress(int n) const { return ip(n) + ":9101"; }
    std::string schedulerAdminAddress(int n) const { return ip(n) + ":9102"; }
    std::string operatorAddress(int n) const { return ip(n) + ":8090"; }
    const std::string& key(const std::string& organisation) const { return m_keys.at(organisation); }
    const std::string& token() const { return m_token; }
    std::string dataFolder(int n) const { return m_folder + "/data" + std::to_string(n); }
    const std::string& folder() const { return m_folder; }
    /// Returns the number of the VM whose control replica leads, or 0.
    int leader() const;
    /// Returns the number of the VM whose scheduler owns a shard, or 0.
    int owner(const std::string& shard);
    /// Returns a field of the output of `status`, such as "revision".
    std::string status(const std::string& field);
    bool isReady(const std::string& admin) const;

    child_process& entry(int n) { return m_entries[n]; }
    child_process& scheduler(int n) { return m_schedulers[n]; }
    child_process& control(int n) { return m_controls[n]; }
    child_process& standIn() { return m_standIn; }
    fault_proxy& proxy() { return *m_proxy; }
    /// Returns the log lines of all control processes whose event name starts with one of the prefixes.
    std::string controlLogLines(const std::vector<std::string>& eventPrefixes) const;

private:
    std::string commonSettings(int vm, int port) const;
    std::string syncDelayFile(int n) const { return fmt::format("{}/control{}.sync-delay", m_folder, n); }
    void writeStandInSettings();
    void addEndpoint(const std::string& id, const std::string& role, const std::string& model, int number, std::string& text);

    fleet_options m_options;
    std::string m_subnet;
    std::string m_folder;
    std::string m_wireKeys;
    std::string m_token;
    std::string m_tokenSha256;
    std::map<std::string, std::string> m_keys;
    std::map<std::string, std::string> m_endpoints;
    std::unique_ptr<fault_proxy> m_proxy;
    std::map<int, child_process> m_entries;
    std::map<int, child_process> m_schedulers;
    std::map<int, child_process> m_controls;
    child_process m_standIn;
    int m_commandCount = 0;
};

/// Waits until a condition holds. Returns false at the deadline, which is long enough to be missed only by a hang.
bool eventually(const std::function<bool()>& condition, std::chrono::seconds deadline = std::chrono::seconds(40));

/// Requests a streamed completion that a test reads step by step and can disconnect from at any time.
class streaming_caller {
public:
    streaming_caller(const fleet& where, int entry, const std::string& prompt, std::uint32_t maxTokens, const std::string& organisation = "alpha");
    /// Reads until the response contains a text. Returns false if the connection ends first.
    bool readUntil(const std::string& part);
    /// Reads until the end of the response or of the connection.
    std::string readAll();
    const std::string& received() const { return m_received; }
    /// Returns the concatenated text of the tokens received so far.
    std::string text() const;
    /// Returns whether the final event arrived.
    bool isComplete() const { return m_received.find("data: [DONE]") != std::string::npos; }
    void disconnect();

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
};

} // namespace pistachiolatch::test
