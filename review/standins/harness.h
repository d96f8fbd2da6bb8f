#pragma once
// Shared by the review cases: starts the project's programs and the stand-in endpoints as processes on loopback addresses, and
// speaks HTTP/1.1 to them over plain sockets.
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

/// Exit codes of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int cannotRun = 2;

inline std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

/// A file of lines that several processes may append to.
class record_file {
public:
    explicit record_file(const std::string& path)
        : m_descriptor(::open(path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644))
    {
    }
    record_file(const record_file&) = delete;
    record_file& operator=(const record_file&) = delete;
    ~record_file() { ::close(m_descriptor); }

    void line(const std::string& text) const
    {
        auto stamped = std::to_string(nowMs()) + " " + text + "\n";
        [[maybe_unused]] auto written = ::write(m_descriptor, stamped.data(), stamped.size());
    }

private:
    int m_descriptor;
};

struct http_reply {
    int status = 0;
    /// Names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    /// Whether the body arrived up to its announced end.
    bool complete = false;

    std::string header(const std::string& name) const
    {
        auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

inline std::string lowerCase(std::string text)
{
    for (auto& letter : text)
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return text;
}

/// A TCP connection with blocking calls that end at a time.
class connection {
public:
    connection() = default;
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    connection(connection&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_buffer(std::move(other.m_buffer))
    {
    }
    connection& operator=(connection&& other) noexcept
    {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
        m_buffer = std::move(other.m_buffer);
        return *this;
    }
    ~connection() { close(); }

    bool open(const std::string& address, int timeoutMs = 1000)
    {
        close();
        auto colon = address.rfind(':');
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        int on = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (::connect(m_descriptor, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0)
            return true;
        int error = 0;
        socklen_t size = sizeof error;
        bool ready = errno == EINPROGRESS && waitFor(POLLOUT, nowMs() + timeoutMs);
        if (ready && ::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0)
            return true;
        close();
        return false;
    }
    bool isOpen() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    void close()
    {
        if (m_descriptor >= 0)
            ::close(std::exchange(m_descriptor, -1));
        m_buffer.clear();
    }

    bool send(const std::string& bytes, std::int64_t until)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            auto count = ::send(m_descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (count > 0)
                done += static_cast<std::size_t>(count);
            else if (errno != EAGAIN || !waitFor(POLLOUT, until))
                return false;
        }
        return true;
    }

    /// Reads more bytes into the buffer. Returns false at the end, after an error or at the given time.
    bool fill(std::int64_t until)
    {
        while (true) {
            char block[16384];
            auto count = ::recv(m_descriptor, block, sizeof block, 0);
            if (count > 0) {
                m_buffer.append(block, static_cast<std::size_t>(count));
                return true;
            }
            m_ended = count == 0;
            if (count == 0 || errno != EAGAIN || !waitFor(POLLIN, until))
                return false;
        }
    }
    std::string& buffer() { return m_buffer; }
    /// Whether the last read that failed did so because the peer closed in order.
    bool ended() const { return m_ended; }

    std::optional<std::string> readLine(std::int64_t until)
    {
        while (true) {
            auto end = m_buffer.find("\r\n");
            if (end != std::string::npos) {
                auto line = m_buffer.substr(0, end);
                m_buffer.erase(0, end + 2);
                return line;
            }
            if (!fill(until))
                return std::nullopt;
        }
    }
    std::optional<std::string> readBytes(std::size_t count, std::int64_t until)
    {
        while (m_buffer.size() < count) {
            if (!fill(until))
                return std::nullopt;
        }
        auto bytes = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return bytes;
    }

    /// Reads a response. The callback, if any, receives each part of a chunked body as it arrives.
    http_reply readReply(std::int64_t until, const std::function<void(const std::string&)>& onChunk = {})
    {
        http_reply reply;
        auto statusLine = readLine(until);
        if (!statusLine || statusLine->size() < 12)
            return reply;
        reply.status = std::atoi(statusLine->c_str() + 9);
        if (!readHeaders(reply.headers, until))
            return reply;
        if (reply.header("transfer-encoding") == "chunked") {
            while (auto size = readLine(until)) {
                auto bytes = std::strtoul(size->c_str(), nullptr, 16);
                auto part = readBytes(bytes + 2, until);
                if (!part)
                    return reply;
                if (bytes == 0) {
                    reply.complete = true;
                    return reply;
                }
                part->resize(bytes);
                reply.body += *part;
                if (onChunk)
                    onChunk(*part);
            }
            return reply;
        }
        auto length = reply.headers.find("content-length");
        if (length != reply.headers.end()) {
            auto body = readBytes(std::stoul(length->second), until);
            reply.complete = body.has_value();
            reply.body = body.value_or(m_buffer);
            return reply;
        }
        while (fill(until)) { }
        reply.body = m_buffer;
        reply.complete = m_ended;
        return reply;
    }

    bool readHeaders(std::map<std::string, std::string>& headers, std::int64_t until)
    {
        while (auto line = readLine(until)) {
            if (line->empty())
                return true;
            auto colon = line->find(':');
            auto begin = line->find_first_not_of(' ', colon + 1);
            headers[lowerCase(line->substr(0, colon))] = begin == std::string::npos ? "" : line->substr(begin);
        }
        return false;
    }

private:
    bool waitFor(short events, std::int64_t until) const
    {
        pollfd item { m_descriptor, events, 0 };
        auto left = until - nowMs();
        return left > 0 && ::poll(&item, 1, static_cast<int>(left)) > 0;
    }

    int m_descriptor = -1;
    std::string m_buffer;
    bool m_ended = false;
};

/// Sends a request over a connection of its own and reads the response.
inline http_reply call(const std::string& address, const std::string& request, int timeoutMs = 2000)
{
    connection link;
    auto until = nowMs() + timeoutMs;
    if (!link.open(address) || !link.send(request, until))
        return {};
    return link.readReply(until);
}

inline std::string jsonRequest(const std::string& method, const std::string& path, const std::string& body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

/// Starts a program that ends with this process.
inline pid_t startProcess(const std::vector<std::string>& command, const std::string& outputPath)
{
    auto parent = ::getpid();
    auto child = ::fork();
    if (child != 0)
        return child;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(cannotRun);
    int output = ::open(outputPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    std::vector<char*> arguments;
    for (const auto& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(cannotRun);
}

inline void endProcess(pid_t& process, int signal = SIGKILL)
{
    if (process <= 0)
        return;
    ::kill(process, signal);
    ::waitpid(process, nullptr, 0);
    process = 0;
}

/// The fleet of a small deployment (sites/fosse-route.toml) with fewer machines, and its stand-in endpoints.
class fleet {
public:
    /// The folder holds the programs of the deploy file, in target/, and the stand-ins, in target/review/.
    fleet(std::string repository, int controls, int entries)
        : m_repository(std::move(repository))
        , m_controls(static_cast<std::size_t>(controls))
        , m_entries(static_cast<std::size_t>(entries))
    {
        char pattern[] = "/tmp/review-XXXXXX";
        m_folder = ::mkdtemp(pattern);
        chooseNetwork();
    }
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet()
    {
        for (auto* group : { &m_entries, &m_controls, &m_runners }) {
            for (auto& process : *group)
                endProcess(process);
        }
        if (!std::getenv("KEEP"))
            std::system(("rm -rf " + m_folder).c_str());
    }

    std::string controlAddress(int n) const { return ip(n) + ":8367"; }
    std::string entryAddress(int n) const { return ip(10 + n) + ":8360"; }
    std::string runnerAddress(int n) const { return ip(30 + n) + ":8080"; }
    int controls() const { return static_cast<int>(m_controls.size()); }
    int entries() const { return static_cast<int>(m_entries.size()); }
    const std::string& folder() const { return m_folder; }

    void start()
    {
        for (int n = 1; n <= controls(); ++n)
            startControl(n, true);
        for (int n = 1; n <= entries(); ++n)
            startEntry(n);
    }
    void startControl(int n, bool bootstrap)
    {
        auto name = "core-" + std::to_string(n);
        ::mkdir((m_folder + "/" + name).c_str(), 0755);
        std::ostringstream text;
        text << commonSettings(name, ip(n)) << "\n[control]\nlisten = \"" << controlAddress(n) << "\"\ndata_folder = \"" << m_folder << "/" << name << "\"\nfirst_start = " << (bootstrap ? "true" : "false")
             << "\nadmin_port = 9464\n"
             << peerSettings() << "\n[bounds]\nwithdrawn_key_ms = 5000\nreport_interval_ms = 1200\n"
             << sharedBounds();
        m_controls[static_cast<std::size_t>(n - 1)] = startProgram("pistachiolatch-platform-control", name, text.str());
    }
    void startEntry(int n)
    {
        auto name = "front-" + std::to_string(n);
        std::ostringstream text;
        text << commonSettings(name, ip(10 + n)) << "memory_mb = 260\n\n[entry]\nlisten = \"" << entryAddress(n) << "\"\nready_listen = \"" << ip(10 + n)
             << ":8365\"\nadmin_port = 9464\nrelay_port = 7515\n"
             << peerSettings()
             << "\n[bounds]\nwithdrawn_key_ms = 5000\nchange_ms = 2000\ndrain_ms = 2000\nshutdown_s = 8\n"
             << sharedBounds();
        m_entries[static_cast<std::size_t>(n - 1)] = startProgram("pistachiolatch-platform-entry", name, text.str());
    }
    pid_t& control(int n) { return m_controls[static_cast<std::size_t>(n - 1)]; }
    pid_t& entry(int n) { return m_entries[static_cast<std::size_t>(n - 1)]; }

    /// Starts stand-in endpoint n with further options of its program.
    pid_t& startRunner(int n, const std::string& id, const std::string& service, const std::string& logPath, std::vector<std::string> options = {})
    {
        if (m_runners.size() < static_cast<std::size_t>(n))
            m_runners.resize(static_cast<std::size_t>(n));
        std::string addresses;
        for (int i = 1; i <= controls(); ++i)
            addresses += (i > 1 ? "," : "") + controlAddress(i);
        std::vector<std::string> command { m_repository + "/target/review/runner", "--id", id, "--address", runnerAddress(n), "--service", service, "--controls", addresses, "--log", logPath };
        command.insert(command.end(), options.begin(), options.end());
        auto& process = m_runners[static_cast<std::size_t>(n - 1)];
        endProcess(process);
        process = startProcess(command, m_folder + "/runner-" + std::to_string(n) + ".out");
        return process;
    }
    pid_t& runner(int n) { return m_runners[static_cast<std::size_t>(n - 1)]; }

    bool isReady(int entryNumber) const { return call(ip(10 + entryNumber) + ":8365", "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 500).status == 200; }
    /// Waits until every entry says that it is ready.
    bool awaitReady(int timeoutMs) const
    {
        auto until = nowMs() + timeoutMs;
        for (int n = 1; n <= entries(); ++n) {
            while (!isReady(n)) {
                if (nowMs() > until)
                    return false;
                sleepMs(100);
            }
        }
        return true;
    }
    /// Sends a configuration as the operator does, to one control process after another until it has a clear answer.
    http_reply putConfiguration(const std::string& body, int timeoutMs = 10000) const
    {
        auto until = nowMs() + timeoutMs;
        for (int n = 0; nowMs() < until; ++n) {
            auto reply = call(controlAddress(1 + n % controls()), jsonRequest("PUT", "/-/config", body), 1000);
            if (reply.complete && reply.status != 503 && reply.status != 408 && reply.status != 429)
                return reply;
            sleepMs(100);
        }
        return {};
    }
    http_reply getConfiguration(int controlNumber) const
    {
        return call(controlAddress(controlNumber), "GET /-/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1500);
    }

private:
    std::string ip(int host) const { return m_network + "." + std::to_string(host); }

    void chooseNetwork()
    {
        for (int i = 0; i < 200; ++i) {
            m_network = "127." + std::to_string(100 + (::getpid() + i) % 100) + "." + std::to_string(1 + (::getpid() / 100) % 250);
            sockaddr_in own {};
            own.sin_family = AF_INET;
            own.sin_port = htons(7499);
            ::inet_pton(AF_INET, ip(1).c_str(), &own.sin_addr);
            m_reservation = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            if (::bind(m_reservation, reinterpret_cast<sockaddr*>(&own), sizeof own) == 0 && ::listen(m_reservation, 1) == 0)
                return;
            ::close(m_reservation);
        }
        std::exit(cannotRun);
    }

    static std::string commonSettings(const std::string& name, const std::string& address)
    {
        return "[vm]\nname = \"" + name + "\"\naddress = \"" + address + "\"\ndata_centre = \"nottingham\"\n";
    }
    std::string peerSettings() const
    {
        std::string seeds;
        for (int n = 1; n <= std::min(3, controls()); ++n)
            seeds += (n > 1 ? ", \"" : "\"") + controlAddress(n) + "\"";
        return "\n[peers]\nport = 7500\ncontrols = [" + seeds + "]\n";
    }
    static std::string sharedBounds()
    {
        return "retry_ratio = 0.2\nretry_slack = 54\nretry_window_s = 10\nlimit_slack = 72000\nlimit_overshoot = 0.1\nlimit_window_s = 8\n";
    }
    pid_t startProgram(const std::string& program, const std::string& name, const std::string& settings) const
    {
        auto path = m_folder + "/" + name + ".toml";
        std::ofstream(path) << settings;
        return startProcess({ m_repository + "/target/" + program, "--settings", path }, m_folder + "/" + name + ".out");
    }

    std::string m_repository;
    std::string m_folder;
    std::string m_network;
    int m_reservation = -1;
    std::vector<pid_t> m_controls;
    std::vector<pid_t> m_entries;
    std::vector<pid_t> m_runners;
};

/// A route of a configuration; the times are those of fosse-route's sheet.
struct route {
    std::string name;
    std::string type;
    std::string service;
    int maxAttempts = 1;
    bool resumable = false;
    int timeoutMs = 14000;
    int targetMs = 900;
};

inline std::string configuration(const std::string& version, const std::vector<route>& routes, const std::vector<std::string>& services, const std::vector<std::string>& keys)
{
    std::ostringstream text;
    text << "{\"version\":" << version << ",\"routes\":[";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const auto& one = routes[i];
        text << (i ? "," : "") << "{\"name\":\"" << one.name << "\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/" << one.name << "/\",\"routeType\":\"" << one.type << "\",\"timeoutMs\":" << one.timeoutMs
             << ",\"targetLatencyMs\":" << one.targetMs << ",\"priority\":1,\"service\":\"" << one.service << "\",\"maxAttempts\":" << one.maxAttempts
             << ",\"public\":false,\"sticky\":false,\"resumable\":" << (one.resumable ? "true" : "false") << ",\"gapTargetMs\":300}";
    }
    text << "],\"services\":[";
    for (std::size_t i = 0; i < services.size(); ++i)
        text << (i ? "," : "") << "{\"name\":\"" << services[i] << "\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}";
    text << "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"huka270\",\"apiKeys\":[";
    for (std::size_t i = 0; i < keys.size(); ++i)
        text << (i ? "," : "") << "\"" << keys[i] << "\"";
    text << "],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":116707,\"burst\":116707}]}";
    return text.str();
}

inline std::string callerRequest(const std::string& method, const std::string& path, const std::string& requestId, const std::string& key, int deadlineMs, const std::string& body = {}, const std::string& more = {})
{
    auto head = method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nPistachiolatch-Request-Id: " + requestId + "\r\nPistachiolatch-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Token " + key + "\r\n" + more;
    if (method != "GET")
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return head + "\r\n" + body;
}

} // namespace review
