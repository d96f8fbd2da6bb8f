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

/// What a test wants to have around.
struct fleet_options {
    int entries = 3;
    int schedulers = 2;
    int controls = 3;
    int disks = 3;
    int prefill = 2;
    int decode = 2;
    int services = 2;
    /// Lines added to each endpoint of the stand-in.
    std::string endpointLines;
    /// Puts the fault proxy before the wire of every process.
    bool proxied = false;
    /// Puts the fault proxy before every endpoint.
    bool proxiedEndpoints = false;
    std::string records;
};

/// A caller's or endpoint's answer.
struct simple_response {
    unsigned status = 0;
    std::string body;
    http_headers headers;
    bool broken = false;
    std::string header(const std::string& name) const;
};

/// A whole fleet of real processes on loopback addresses of its own.
class fleet {
public:
    explicit fleet(fleet_options shape);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts everything, applies the records and issues one key for each organisation.
    void start();
    void startEntry(int n);
    void startScheduler(int n);
    void startControl(int n, bool bootstrap = false);
    /// Runs the operators' command.
    command_output command(std::vector<std::string> arguments);
    /// Writes a file into the fleet's folder and returns its path.
    std::string file(const std::string& name, const std::string& content) const;
    simple_response call(const std::string& address, const std::string& method, const std::string& target, const http_headers& headers, const std::string& body, milliseconds timeout = milliseconds(30000)) const;
    /// A completion asked for at an entry.
    simple_response complete(int entry, const std::string& prompt, std::uint32_t maxTokens, const std::string& organisation = "alpha") const;
    simple_response book(int entry, const std::string& key, const std::string& body, const std::string& organisation = "alpha") const;
    /// Switches faults of one endpoint; the JSON replaces earlier faults.
    void setFaults(const std::string& endpoint, const std::string& json) const;
    std::int64_t stat(const std::string& endpoint, const std::string& name) const;
    /// The sum of a figure over all model endpoints.
    std::int64_t statSum(const std::string& name) const;
    std::vector<std::string> modelEndpoints() const;
    std::string metric(const std::string& adminAddress, const std::string& line) const;

    std::string ip(int vm) const { return m_net + "." + std::to_string(10 + vm); }
    std::string callerAddress(int n) const { return ip(n) + ":8080"; }
    std::string entryAdminAddress(int n) const { return ip(n) + ":9101"; }
    std::string schedulerAdminAddress(int n) const { return ip(n) + ":9102"; }
    std::string operatorAddress(int n) const { return ip(n) + ":8090"; }
    const std::string& key(const std::string& organisation) const { return m_keys.at(organisation); }
    const std::string& token() const { return m_token; }
    std::string dataFolder(int n) const { return m_folder + "/data" + std::to_string(n); }
    const std::string& folder() const { return m_folder; }
    /// The VM whose control replica leads, or 0.
    int leader() const;
    /// The VM whose scheduler owns a shard, or 0.
    int owner(const std::string& shard);
    /// One field of `status`, such as "revision".
    std::string status(const std::string& field);
    bool isReady(const std::string& admin) const;

    child_process& entry(int n) { return m_entries[n]; }
    child_process& scheduler(int n) { return m_schedulers[n]; }
    child_process& control(int n) { return m_controls[n]; }
    child_process& standIn() { return m_standIn; }
    fault_proxy& proxy() { return *m_proxy; }

private:
    std::string common(int vm, int port) const;
    /// Returns the log lines of all control processes whose event name starts with one of the prefixes.
    std::string controlLogLines(const std::vector<std::string>& eventPrefixes) const;
    void writeStandIn();
    void writeOne(const std::string& id, const std::string& role, const std::string& model, int number, std::string& text);

    fleet_options m_shape;
    std::string m_net;
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
    int m_commands = 0;
};

/// Waits until a condition holds; false after a deadline that only a hang can reach.
bool eventually(const std::function<bool()>& condition, std::chrono::seconds deadline = std::chrono::seconds(40));

/// A streamed completion that a test reads piece by piece and may leave at any time.
class streaming_caller {
public:
    streaming_caller(const fleet& where, int entry, const std::string& prompt, std::uint32_t maxTokens, const std::string& organisation = "alpha");
    /// Reads until the text holds a part; false if the stream ends before.
    bool readUntil(const std::string& part);
    /// Reads to the end of the connection.
    std::string readAll();
    const std::string& received() const { return m_received; }
    /// The tokens received, in order, and whether the end mark came.
    std::string text() const;
    bool isComplete() const { return m_received.find("data: [DONE]") != std::string::npos; }
    void disconnect();

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
};

} // namespace pistachiolatch::test
