#pragma once
// Starts a small deployment of the platform programs on loopback addresses, and talks to it like the platform's pages say.
// Needs a C++20 compiler and POSIX only.
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void sleepFor(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}
inline long long unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Writes the record of a case: one line for each thing that was sent, answered or run.
class record_file {
public:
    explicit record_file(const std::string& path)
        : m_out(path)
        , m_startedAt(clock_type::now())
    {
    }
    void line(const std::string& text)
    {
        std::lock_guard lock(m_mutex);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f  ", std::chrono::duration<double>(clock_type::now() - m_startedAt).count());
        m_out << at << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    clock_type::time_point m_startedAt;
};

inline sockaddr_in toSocketAddress(const std::string& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    auto colon = address.rfind(':');
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return result;
}

inline int listenOn(const std::string& address)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto to = toSocketAddress(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 || ::listen(descriptor, 256) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

inline bool sendAll(int descriptor, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        auto count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline std::string lowerCase(std::string text)
{
    for (auto& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

/// The head of a request or response, and its body.
struct message {
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The status of a response; 0 if there is none, which includes bytes that are no response.
    int status = 0;
    std::string method;
    std::string path;
    bool complete = false;
    std::string header(const std::string& name) const
    {
        auto found = headers.find(lowerCase(name));
        return found == headers.end() ? std::string() : found->second;
    }
};

/// One end of an HTTP/1.1 connection.
class connection {
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
        int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    static std::unique_ptr<connection> open(const std::string& address, int timeoutMs = 1000)
    {
        int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto to = toSocketAddress(address);
        ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
        bool connected = ::connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
        if (!connected && errno == EINPROGRESS) {
            pollfd item { descriptor, POLLOUT, 0 };
            int error = 0;
            socklen_t size = sizeof error;
            connected = ::poll(&item, 1, timeoutMs) > 0 && ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
        }
        if (!connected) {
            ::close(descriptor);
            return nullptr;
        }
        ::fcntl(descriptor, F_SETFL, 0);
        return std::make_unique<connection>(descriptor);
    }

    bool send(const std::string& bytes) { return sendAll(m_descriptor, bytes); }
    void close()
    {
        if (m_descriptor >= 0)
            ::close(std::exchange(m_descriptor, -1));
    }
    /// Reads a request. Returns false once the connection has ended.
    bool readRequest(message& request)
    {
        if (!readHead(request, -1))
            return false;
        std::istringstream line(request.startLine);
        line >> request.method >> request.path;
        return readBody(request, false, -1);
    }
    /// Reads a response to a request of the method. A response to HEAD has no body.
    message readResponse(const std::string& method, int timeoutMs)
    {
        message response;
        m_deadline = clock_type::now() + milliseconds(timeoutMs);
        if (!readHead(response, timeoutMs))
            return response;
        if (response.startLine.rfind("HTTP/1.1 ", 0) != 0)
            return response;
        response.status = std::atoi(response.startLine.c_str() + 9);
        response.complete = method == "HEAD" || readBody(response, true, timeoutMs);
        return response;
    }
    const std::string& unread() const { return m_buffer; }

private:
    bool fill(int timeoutMs)
    {
        if (timeoutMs >= 0) {
            auto left = std::chrono::duration_cast<milliseconds>(m_deadline - clock_type::now()).count();
            pollfd item { m_descriptor, POLLIN, 0 };
            if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) <= 0)
                return false;
        }
        char bytes[16384];
        auto count = ::recv(m_descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool readHead(message& result, int timeoutMs)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(timeoutMs))
                return false;
        }
        std::istringstream head(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, result.startLine);
        if (!result.startLine.empty() && result.startLine.back() == '\r')
            result.startLine.pop_back();
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            auto colon = line.find(':');
            auto value = line.find_first_not_of(' ', colon + 1);
            if (colon != std::string::npos)
                result.headers[lowerCase(line.substr(0, colon))] = value == std::string::npos ? std::string() : line.substr(value);
        }
        return true;
    }
    bool readBytes(std::string& into, std::size_t size, int timeoutMs)
    {
        while (m_buffer.size() < size) {
            if (!fill(timeoutMs))
                return false;
        }
        into += m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }
    bool readBody(message& result, bool isResponse, int timeoutMs)
    {
        if (lowerCase(result.header("Transfer-Encoding")) == "chunked") {
            while (true) {
                std::size_t end = 0;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!fill(timeoutMs))
                        return false;
                }
                auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
                m_buffer.erase(0, end + 2);
                std::string lineEnd;
                if (!readBytes(result.body, size, timeoutMs) || !readBytes(lineEnd, 2, timeoutMs))
                    return false;
                if (size == 0)
                    return true;
            }
        }
        auto length = result.header("Content-Length");
        if (length.empty() && isResponse) {
            while (fill(timeoutMs)) { }
            result.body = std::exchange(m_buffer, {});
            return true;
        }
        return length.empty() || readBytes(result.body, std::stoul(length), timeoutMs);
    }

    int m_descriptor;
    std::string m_buffer;
    clock_type::time_point m_deadline {};
};

/// A request of a client.
struct client_request {
    std::string method = "GET";
    std::string path;
    std::string id;
    std::string key = "key-1";
    int deadlineMs = 4000;
    std::string body {};
    std::string encode() const
    {
        auto text = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nPistachiolatch-Request-Id: " + id + "\r\nPistachiolatch-Deadline-Ms: " + std::to_string(deadlineMs)
            + "\r\nAuthorization: Token " + key + "\r\n";
        if (!body.empty() || method == "POST")
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return text + "\r\n" + body;
    }
};

inline message callOnce(const std::string& address, const std::string& method, const std::string& path, const std::string& body, int timeoutMs)
{
    auto to = connection::open(address);
    if (!to)
        return {};
    auto length = body.empty() ? std::string() : "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    to->send(method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n" + length + "\r\n" + body);
    return to->readResponse(method, timeoutMs);
}

/// A stand-in for a runner. Reports itself to the control processes, and serves requests as the given function says.
class runner {
public:
    /// Answers a request on the connection. Returns false to close the connection.
    using server = std::function<bool(connection&, const message&)>;

    runner(std::string id, std::string address, std::string service, std::vector<std::string> controls, server serve)
        : m_id(std::move(id))
        , m_address(std::move(address))
        , m_service(std::move(service))
        , m_controls(std::move(controls))
        , m_serve(std::move(serve))
    {
    }

    /// Runs until the process ends.
    void run()
    {
        int listening = listenOn(m_address);
        if (listening < 0)
            std::exit(2);
        std::thread([this] { report(); }).detach();
        while (true) {
            int accepted = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0)
                std::thread([this, accepted] { serveConnection(accepted); }).detach();
        }
    }
    std::string responseHead(const message& request, const std::string& status, const std::string& fields) const
    {
        return "HTTP/1.1 " + status + "\r\nPistachiolatch-Request-Id: " + request.header("Pistachiolatch-Request-Id") + "\r\nPistachiolatch-Response-Seal: seal." + m_id + "." + request.header("Pistachiolatch-Request-Id")
            + "\r\n" + fields + "\r\n";
    }

private:
    void report()
    {
        for (long sequence = 1;; ++sequence) {
            auto body = "{\"service\":\"" + m_service + "\",\"address\":\"" + m_address + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":32,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":" + std::to_string(sequence)
                + ",\"born\":" + std::to_string(m_born) + "}";
            for (std::size_t i = 0; i < m_controls.size(); ++i) {
                auto status = callOnce(m_controls[(m_next + i) % m_controls.size()], "PUT", "/-/instances/" + m_id, body, 1000).status;
                if (status >= 200 && status < 300)
                    break;
            }
            ++m_next;
            sleepFor(1200);
        }
    }
    void serveConnection(int descriptor)
    {
        connection from(descriptor);
        message request;
        while (from.readRequest(request)) {
            auto expected = request.header("Pistachiolatch-Expect-Instance");
            if (!expected.empty() && expected != m_id) {
                from.send("HTTP/1.1 421 Misdirected Request\r\nPistachiolatch-Request-Id: " + request.header("Pistachiolatch-Request-Id") + "\r\nPistachiolatch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            } else if (!m_serve(from, request)) {
                return;
            }
            request = {};
        }
    }

    std::string m_id;
    std::string m_address;
    std::string m_service;
    std::vector<std::string> m_controls;
    server m_serve;
    long long m_born = unixMs();
    std::size_t m_next = static_cast<std::size_t>(::getpid());
};

/// Appends a line to a file that several processes write.
inline void appendLine(const std::string& path, const std::string& text)
{
    int descriptor = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    auto line = text + "\n";
    [[maybe_unused]] auto written = ::write(descriptor, line.data(), line.size());
    ::close(descriptor);
}

inline std::vector<std::string> readLines(const std::string& path)
{
    std::ifstream in(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);)
        lines.push_back(line);
    return lines;
}

/// The processes of a case. All of them are ended when it is destroyed.
class deployment {
public:
    deployment(int controls, int entries)
        : m_controls(controls)
        , m_entries(entries)
    {
        auto folder = (std::filesystem::temp_directory_path() / "pistachiolatch-review-XXXXXX").string();
        m_folder = ::mkdtemp(folder.data());
        for (int attempt = 0; attempt < 200; ++attempt) {
            m_subnet = "127." + std::to_string(16 + (static_cast<int>(::getpid()) + attempt * 7) % 200);
            m_reserved = listenOn(m_subnet + ".9.9:8999");
            if (m_reserved >= 0 && areAddressesFree())
                break;
            ::close(m_reserved);
        }
    }
    ~deployment()
    {
        for (auto& [name, process] : m_processes) {
            ::kill(process, SIGCONT);
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
        ::close(m_reserved);
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    std::string controlAddress(int n) const { return m_subnet + ".1." + std::to_string(n) + ":8367"; }
    std::string entryAddress(int n) const { return m_subnet + ".2." + std::to_string(n) + ":8360"; }
    std::string runnerAddress(int n) const { return m_subnet + ".3." + std::to_string(n) + ":8080"; }
    std::vector<std::string> controlAddresses() const
    {
        std::vector<std::string> all;
        for (int n = 1; n <= m_controls; ++n)
            all.push_back(controlAddress(n));
        return all;
    }
    std::string file(const std::string& name) const { return m_folder + "/" + name; }

    void startControl(int n)
    {
        auto ip = m_subnet + ".1." + std::to_string(n);
        std::filesystem::create_directories(file("data-" + std::to_string(n)));
        startProgram("control", n, vmSection("core-" + std::to_string(n), ip, 256) + "[control]\nlisten = \"" + controlAddress(n) + "\"\ndata_folder = \"" + file("data-" + std::to_string(n)) + "\"\nfirst_start = true\nadmin_port = 9464\n" + peersSection() + "[bounds]\nwithdrawn_key_ms = 5000\nreport_interval_ms = 1200\n" + commonBounds());
    }
    /// Starts an entry. The given address of a control process, if any, stands for that of control process `proxied`.
    void startEntry(int n, int proxied = 0, const std::string& proxy = {})
    {
        auto ip = m_subnet + ".2." + std::to_string(n);
        startProgram("entry", n, vmSection("front-" + std::to_string(n), ip, 110) + "[entry]\nlisten = \"" + entryAddress(n) + "\"\nready_listen = \"" + ip + ":8365\"\nadmin_port = 9464\nrelay_port = 7515\n" + peersSection(proxied, proxy) + "[bounds]\nwithdrawn_key_ms = 5000\nchange_ms = 2000\ndrain_ms = 2000\nshutdown_s = 8\n" + commonBounds());
    }
    /// Sends a signal to a process.
    void signalProcess(const std::string& name, int signal) const { ::kill(m_processes.at(name), signal); }
    /// An address beside those of the machines.
    std::string address(const std::string& end) const { return m_subnet + end; }
    /// The control process that leads according to the logs; 0 if none does.
    int findLeader() const
    {
        int leader = 0;
        std::string latest;
        for (int n = 1; n <= m_controls; ++n) {
            for (const auto& line : readLines(file("control-" + std::to_string(n) + ".log"))) {
                auto at = line.substr(0, line.find(' '));
                if (line.find("event=leadership_gained") != std::string::npos && at >= latest) {
                    latest = at;
                    leader = n;
                }
            }
        }
        return leader;
    }
    /// Starts this program again with other arguments.
    void startSelf(const std::string& name, const std::vector<std::string>& arguments) { startChild(name, "/proc/self/exe", arguments, {}, file(name + ".log")); }
    void killProcess(const std::string& name)
    {
        ::kill(m_processes[name], SIGKILL);
        ::waitpid(m_processes[name], nullptr, 0);
        m_processes.erase(name);
    }
    void startControls()
    {
        for (int n = 1; n <= m_controls; ++n)
            startControl(n);
    }
    /// Starts all, and submits the configuration. Returns false if the deployment doesn't come up.
    bool start(const std::string& configuration)
    {
        startControls();
        for (int n = 1; n <= m_entries; ++n)
            startEntry(n);
        return submit(configuration);
    }
    /// Submits a configuration until it is acknowledged.
    bool submit(const std::string& configuration)
    {
        for (int attempt = 0; attempt < 100; ++attempt) {
            auto status = callOnce(controlAddress(1 + attempt % m_controls), "PUT", "/-/config", configuration, 2000).status;
            if (status == 200)
                return true;
            sleepFor(100);
        }
        return false;
    }
    /// Waits until all entries say that they are ready.
    bool awaitReady()
    {
        for (int attempt = 0; attempt < 100; ++attempt) {
            int ready = 0;
            for (int n = 1; n <= m_entries; ++n)
                ready += callOnce(m_subnet + ".2." + std::to_string(n) + ":8365", "GET", "/-/ready", "", 1000).status == 200 ? 1 : 0;
            if (ready == m_entries)
                return true;
            sleepFor(100);
        }
        return false;
    }

private:
    bool areAddressesFree() const
    {
        auto isFree = [](const std::string& address) {
            int descriptor = listenOn(address);
            ::close(descriptor);
            return descriptor >= 0;
        };
        for (int n = 1; n <= 8; ++n) {
            auto host = "." + std::to_string(n) + ":";
            bool isRangeFree = isFree(controlAddress(n)) && isFree(entryAddress(n)) && isFree(runnerAddress(n)) && isFree(m_subnet + ".1" + host + "7500") && isFree(m_subnet + ".1" + host + "9464")
                && isFree(m_subnet + ".2" + host + "7515") && isFree(m_subnet + ".2" + host + "8365") && isFree(m_subnet + ".2" + host + "9464");
            if (!isRangeFree)
                return false;
        }
        return true;
    }
    std::string vmSection(const std::string& name, const std::string& ip, int memoryMb) const
    {
        return "[vm]\nname = \"" + name + "\"\naddress = \"" + ip + "\"\ndata_centre = \"a\"\nmemory_mb = " + std::to_string(memoryMb) + "\nmax_descriptors = 4100\n";
    }
    std::string peersSection(int proxied = 0, const std::string& proxy = {}) const
    {
        // The seeds name three machines.
        std::vector<std::string> named;
        if (proxied > 0)
            named.push_back(proxy);
        for (int n = 1; n <= m_controls && named.size() < 3; ++n) {
            if (n != proxied)
                named.push_back(controlAddress(n));
        }
        std::string seeds;
        for (const auto& address : named)
            seeds += (seeds.empty() ? "" : ",") + ("\"" + address + "\"");
        return "[peers]\nport = 7500\ncontrols = [" + seeds + "]\n";
    }
    static std::string commonBounds() { return "retry_ratio = 0.2\nretry_slack = 54\nretry_window_s = 10\nlimit_slack = 73000\nlimit_overshoot = 0.1\nlimit_window_s = 8\n"; }
    void startProgram(const std::string& role, int n, const std::string& settings)
    {
        auto name = role + "-" + std::to_string(n);
        auto path = file(name + ".toml");
        std::ofstream(path) << settings;
        startChild(name, "target/pistachiolatch-platform-" + role, {}, "PISTACHIOLATCH_NODE_FILE=" + path, file(name + ".log"));
    }
    void startChild(const std::string& name, const std::string& program, const std::vector<std::string>& arguments, std::string variable, const std::string& log)
    {
        // Nothing is allocated in the child, since other threads of this process may be running.
        std::vector<char*> argv { const_cast<char*>(program.c_str()) };
        for (const auto& argument : arguments)
            argv.push_back(const_cast<char*>(argument.c_str()));
        argv.push_back(nullptr);
        std::array<char*, 2> environment { variable.empty() ? nullptr : variable.data(), nullptr };
        auto process = ::fork();
        if (process == 0) {
            // No process of a case outlives it.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execve(program.c_str(), argv.data(), environment.data());
            ::_exit(127);
        }
        m_processes[name] = process;
    }

    int m_controls;
    int m_entries;
    std::string m_folder;
    std::string m_subnet;
    int m_reserved = -1;
    std::map<std::string, pid_t> m_processes;
};

/// A route to the service "desk", which has no engines.
inline std::string routeJson(const std::string& name, const std::string& prefix, const std::string& type, int timeoutMs, int maxAttempts, bool resumable = false, const std::string& service = "desk")
{
    return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"pathPrefix\":\"" + prefix + "\",\"routeType\":\"" + type + "\",\"timeoutMs\":" + std::to_string(timeoutMs)
        + ",\"targetLatencyMs\":300,\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":" + std::to_string(maxAttempts) + ",\"public\":false,\"sticky\":false,\"resumable\":" + (resumable ? "true" : "false") + ",\"gapTargetMs\":300}";
}

inline std::string configurationJson(int version, const std::vector<std::string>& routes, const std::string& keys, const std::vector<std::string>& services = { "desk" })
{
    std::string all;
    for (const auto& route : routes)
        all += (all.empty() ? "" : ",") + route;
    std::string allServices;
    for (const auto& service : services)
        allServices += (allServices.empty() ? "" : ",") + ("{\"name\":\"" + service + "\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}");
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + all + "],\"services\":[" + allServices + "],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
        + "\"tenants\":[{\"name\":\"depot\",\"apiKeys\":[" + keys + "],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":1000000,\"burst\":1000000}]}";
}

/// The exit codes of a case.
enum exit_code { heldExit = 0,
    brokenExit = 1,
    notRunExit = 2 };

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace review
