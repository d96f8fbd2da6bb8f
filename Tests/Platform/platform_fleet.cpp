#include "Platform/platform_fleet.h"

#include "Platform/template_renderer.h"
#include "platform_names.h"
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace pistachiolatch::test {

namespace {
    namespace json = boost::json;
    constexpr int firstSubnet = 80;
    constexpr int subnetCount = 100;
    /// Endpoints that an entry with a narrow link can reach, and the numbers of control processes behind them.
    constexpr int maxEndpoints = 16;
    constexpr int firstControlHost = 150;

    json::object makeBounds()
    {
        return { { "revokeMs", 5000 }, { "graceS", 8 }, { "retryBudgetRatio", 0.2 }, { "retryBudgetSlack", 54 }, { "budgetWindowS", 10 }, { "quotaSlack", 20000 },
            { "quotaOvershoot", 0.1 }, { "quotaWindowS", 8 } };
    }

    json::object makeRoute(const std::string& name, const std::string& kind, const std::string& service, int maxAttempts, bool resumable)
    {
        return { { "name", name }, { "host", "h.example" }, { "pathPrefix", "/" + name + "/" }, { "routeType", kind }, { "timeoutMs", 6000 }, { "targetLatencyMs", 900 },
            { "priority", 1 }, { "service", service }, { "maxAttempts", maxAttempts }, { "public", false }, { "resumable", resumable }, { "gapTargetMs", 300 } };
    }
}

loopback_subnet::loopback_subnet()
    : m_acceptor(m_context)
{
    for (int i = 0; i < subnetCount; ++i) {
        m_prefix = fmt::format("127.{}", firstSubnet + (::getpid() + i) % subnetCount);
        boost::system::error_code error;
        m_acceptor.open(boost::asio::ip::tcp::v4(), error);
        m_acceptor.bind(parseAddress(m_prefix + ".0.1:7499"), error);
        if (!error)
            m_acceptor.listen(1, error);
        if (!error)
            return;
        m_acceptor.close(error);
    }
    throw std::runtime_error("all loopback subnets of the tests are in use");
}

platform_fleet::platform_fleet(int controls, int entries)
    : m_controlCount(controls)
    , m_entryCount(entries)
    , m_subnet(m_reservedSubnet.prefix())
    , m_folder(fmt::format("{}/platform-fleet-{}", std::filesystem::temp_directory_path().string(), m_subnet))
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
}

platform_fleet::~platform_fleet()
{
    m_entries.clear();
    m_controls.clear();
    if (!std::getenv("KEEP_FLEET"))
        std::filesystem::remove_all(m_folder);
}

std::string platform_fleet::writeSettings(const std::string& role, const std::string& ip, int n, bool firstStart) const
{
    auto name = fmt::format("{}-{}", role, n);
    json::array seeds;
    for (int i = 1; i <= std::min(3, m_controlCount); ++i)
        seeds.emplace_back(controlAddress(i));
    json::object fields { { "nodeName", name }, { "ip", ip }, { "zone", "a" }, { "seeds", seeds }, { "bootstrap", firstStart }, { "heartbeatMs", 1200 },
        { "internalPorts", json::array { 7500, 7515 } }, { "bounds", makeBounds() }, { "dataDir", m_folder + "/" + name } };
    fields["listen"] = json::object { { "front", ip + ":8360" }, { "readyAddress", ip + ":8365" }, { "control", ip + ":8367" } };
    json::object limits;
    if (m_memoryMb > 0)
        limits["memoryMb"] = m_memoryMb;
    if (m_maxDescriptors > 0)
        limits["maxFds"] = m_maxDescriptors;
    fields["limits"] = limits;
    auto path = fmt::format("{}/{}.toml", m_folder, name);
    std::ofstream(path) << renderTemplate(readFile(fmt::format("{}/../platform/{}.settings", PISTACHIOLATCH_TESTS_FOLDER, role)), fields);
    return path;
}

void platform_fleet::startControl(int n, bool firstStart)
{
    std::filesystem::create_directories(fmt::format("{}/control-{}", m_folder, n));
    auto path = writeSettings("control", controlIp(n), n, firstStart);
    const auto* program = m_controlsPartitionable ? PISTACHIOLATCH_BUILD_FOLDER "/partitioned-control" : PISTACHIOLATCH_BUILD_FOLDER "/pistachiolatch-platform-control";
    child_process::environment variables;
    if (m_controlsPartitionable)
        variables = { { "PARTITION_FILE", partitionFile(fmt::format("control-{}", n)) }, { "CONNECT_FROM", controlIp(n) }, { "SYNC_DELAY_FILE", syncDelayFile(n) } };
    m_controls[n] = child_process(program, { "--settings", path }, fmt::format("{}/control-{}", m_folder, n), variables);
}

void platform_fleet::startEntry(int n)
{
    auto path = writeSettings("entry", entryIp(n), n, false);
    const auto* program = m_partitionable ? PISTACHIOLATCH_BUILD_FOLDER "/partitioned-entry" : PISTACHIOLATCH_BUILD_FOLDER "/pistachiolatch-platform-entry";
    child_process::environment variables { { "PARTITION_FILE", partitionFile(fmt::format("entry-{}", n)) }, { "CONNECT_FROM", entryIp(n) } };
    if (m_narrowed.count(n))
        variables.emplace_back("CONNECT_VIA", fmt::format("{0}.3.0>{1},{0}.1.0>{2}", m_subnet, linkIp(n, 0), linkIp(n, firstControlHost)));
    m_entries[n] = child_process(program, { "--settings", path }, fmt::format("{}/entry-{}", m_folder, n), variables);
}

void platform_fleet::narrowLink(int n, fault_proxy& proxy, std::size_t bytesPerSecond)
{
    m_partitionable = true;
    m_narrowed.insert(n);
    auto link = fmt::format("entry-{}", n);
    auto forward = [&](int host, int port, const std::string& target, bool reversed) {
        auto ip = linkIp(n, host);
        proxy.forward(fmt::format("{}:{}", ip, port), target);
        proxy.joinLink(ip, link, reversed);
        proxy.setRule("", ip, { .bytesPerSecond = bytesPerSecond });
    };
    forward(callerHost, 8360, entryAddress(n), true);
    for (int i = 1; i < maxEndpoints; ++i)
        forward(i, 8080, endpointAddress(i), false);
    for (int i = 1; i <= m_controlCount; ++i)
        forward(firstControlHost + i, 7500, controlIp(i) + ":7500", false);
}

void platform_fleet::restartEntry(int n)
{
    m_entries[n].kill();
    startEntry(n);
}

bool platform_fleet::replaceLeader()
{
    auto leader = findLeader();
    if (leader == 0)
        return false;
    m_controls[leader].kill();
    bool replaced = eventually([&] { return findLeader(leader) != 0; }, std::chrono::seconds(10));
    startControl(leader, false);
    return replaced;
}

std::string platform_fleet::partitionFile(const std::string& process) const
{
    return fmt::format("{}/{}.partition", m_folder, process);
}

void platform_fleet::partition(const std::string& process, const std::string& mode, const std::vector<std::string>& addresses) const
{
    // Renamed into place, so that the process never reads half of it.
    auto path = partitionFile(process);
    std::lock_guard lock(m_partitionMutex);
    {
        std::ofstream file(path + ".new");
        for (const auto& address : addresses) {
            if (!mode.empty())
                file << mode << " " << address << "\n";
        }
    }
    std::filesystem::rename(path + ".new", path);
}

void platform_fleet::partitionEntry(int n, const std::string& mode) const
{
    partitionEntry(n, mode, { m_subnet + ".3." });
}

void platform_fleet::partitionEntry(int n, const std::string& mode, const std::vector<std::string>& addresses) const
{
    partition(fmt::format("entry-{}", n), mode, addresses);
}

void platform_fleet::partitionControl(int n, const std::string& mode, const std::vector<std::string>& addresses) const
{
    partition(fmt::format("control-{}", n), mode, addresses);
}

void platform_fleet::delaySyncs(int n, milliseconds delay) const
{
    std::ofstream(syncDelayFile(n)) << delay.count();
}

void platform_fleet::start()
{
    for (int n = 1; n <= m_controlCount; ++n)
        startControl(n, true);
    for (int n = 1; n <= m_entryCount; ++n)
        startEntry(n);
}

void platform_fleet::eraseControlData(int n) const
{
    auto folder = fmt::format("{}/control-{}", m_folder, n);
    // The folder itself stays: a running process recreates its lock file, so that the folder may not be empty.
    for (const auto& item : std::filesystem::directory_iterator(folder))
        std::filesystem::remove_all(item.path());
}

simple_response platform_fleet::call(const std::string& address, const std::string& method, const std::string& target, const http_headers& headers,
    const std::string& body, milliseconds timeout) const
{
    boost::asio::io_context context;
    simple_response answer;
    auto fetch = [&]() -> task_of<void> {
        http_request call { method, target, headers, body };
        auto response = co_await http_client::fetch(address, call, milliseconds(1000), timeout);
        answer.status = response.status;
        answer.body = response.body;
        answer.headers = response.headers;
        answer.broken = response.failed != call_failure::None;
    };
    boost::asio::co_spawn(context, fetch, boost::asio::detached);
    context.run();
    return answer;
}

simple_response platform_fleet::sendReport(fake_endpoint& endpoint, const std::string& state, int control) const
{
    return call(controlAddress(control), "PUT", platform_names::endpointsPath + endpoint.id(), { { "Content-Type", "application/json" } }, endpoint.makeReport(state), milliseconds(2000));
}

std::vector<simple_response> platform_fleet::callControls(const std::string& method, const std::string& id, const std::string& body) const
{
    std::vector<simple_response> answers;
    for (int n = 1; n <= controls(); ++n)
        answers.push_back(call(controlAddress(n), method, platform_names::endpointsPath + id, { { "Content-Type", "application/json" } }, body));
    return answers;
}

unsigned platform_fleet::submitConfiguration(const std::string& body) const
{
    simple_response answer;
    eventually([&] {
        for (int n = 1; n <= m_controlCount && answer.status != 200; ++n)
            answer = call(controlAddress(n), "PUT", platform_names::configurationPath, { { "Content-Type", "application/json" } }, body, milliseconds(1500));
        return answer.status == 200 || answer.status == 400;
    });
    return answer.status;
}

bool platform_fleet::isEntryReady(int n) const
{
    return call(readyAddress(n), "GET", platform_names::readyPath, {}, {}, milliseconds(1000)).status == 200;
}

endpoint_reporter::endpoint_reporter(platform_fleet& fleet, std::vector<fake_endpoint*> endpoints)
    : m_thread([this, &fleet, endpoints = std::move(endpoints)] {
        for (int control = 1; !m_stopped; control = control % fleet.controls() + 1) {
            for (auto* endpoint : endpoints)
                fleet.sendReport(*endpoint, "ready", control);
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
    })
{
}

endpoint_reporter::~endpoint_reporter()
{
    m_stopped = true;
    m_thread.join();
}

int platform_fleet::findLeader(int killed) const
{
    // A process that was killed didn't log that it lost the lead, which a later term of another one tells.
    int leader = 0;
    int newestTerm = 0;
    constexpr std::string_view gainedEvent = "event=leadership_gained term=";
    for (int n = 1; n <= m_controlCount; ++n) {
        auto log = readFile(fmt::format("{}/control-{}.out", m_folder, n));
        auto gained = log.rfind(gainedEvent);
        if (gained == std::string::npos)
            continue;
        auto term = std::stoi(log.substr(gained + gainedEvent.size()));
        auto lost = log.rfind("event=leadership_lost");
        if (term <= newestTerm)
            continue;
        newestTerm = term;
        leader = n != killed && (lost == std::string::npos || lost < gained) ? n : 0;
    }
    return leader;
}

std::string exampleConfiguration(std::uint64_t version, std::uint64_t ratePerS)
{
    json::object engine { { "slots", 8 }, { "kvCapacityTokens", 74000 }, { "handleTtlS", 0.5 }, { "stride", 72 } };
    json::array services { json::object { { "name", "app" }, { "maxConnections", 50 } }, json::object { { "name", "llm" }, { "maxConnections", 50 }, { "engine", engine } } };
    json::array routes { makeRoute("read", "safe", "app", 2, false), makeRoute("book", "unsafe", "app", 2, false), makeRoute("once", "streaming", "llm", 1, false),
        makeRoute("report", "streaming", "llm", 2, true) };
    json::object limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 100000 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } };
    json::array organisations { json::object { { "name", "org-1" }, { "apiKeys", json::array { "key-1" } }, { "unit", "tokens" }, { "plainTokens", 200 }, { "ratePerS", ratePerS }, { "burst", ratePerS } } };
    return json::serialize(json::object { { "version", version }, { "routes", routes }, { "services", services }, { "limits", limits }, { "tenants", organisations } });
}

} // namespace pistachiolatch::test
