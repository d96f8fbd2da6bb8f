#include "Support/fleet.h"

#include "http/http_server.h"
#include "http/sse_parser.h"
#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace pistachiolatch::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {
    const std::string buildFolder = PISTACHIOLATCH_BUILD_FOLDER;

    constexpr const char* defaultRecords = R"(
[[organisation]]
name = "alpha"
models = ["advisor-llm"]
services = ["orderdesk"]
[[organisation]]
name = "beta"
models = ["advisor-llm"]
services = ["orderdesk"]
[[limit]]
name = "alpha"
rate = 1000000
burst = 1000000
[[limit]]
name = "beta"
rate = 1000000
burst = 1000000
[[model]]
name = "advisor-llm"
model_version = "v1"
[[service]]
name = "orderdesk"
)";

    std::string findValue(const std::string& text, const std::string& name)
    {
        auto begin = text.find(name + "=");
        if (begin == std::string::npos)
            return {};
        begin += name.size() + 1;
        return text.substr(begin, text.find_first_of(" \n", begin) - begin);
    }
}

std::string simple_response::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (boost::beast::iequals(key, name))
            return value;
    }
    return {};
}

bool eventually(const std::function<bool()>& condition, std::chrono::seconds deadline)
{
    auto end = std::chrono::steady_clock::now() + deadline;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return condition();
}

fleet::fleet(fleet_options options)
    : m_options(std::move(options))
{
    // A random subnet for each fleet, so that the fixed ports don't collide with those of a test that runs in parallel.
    std::random_device random;
    m_subnet = fmt::format("127.{}.{}", 30 + random() % 200, 1 + random() % 250);
    m_folder = (std::filesystem::temp_directory_path() / fmt::format("pistachiolatch-{}-{}", ::getpid(), random())).string();
    std::filesystem::create_directories(m_folder);
    auto keys = runToEnd(buildFolder + "/pistachiolatch", { "wire-keys" }, m_folder + "/keys");
    m_wireKeys = keys.out;
    m_token = "test-token";
    m_tokenSha256 = sha256Hex(m_token);
    if (m_options.proxied || m_options.proxiedEndpoints)
        m_proxy = std::make_unique<fault_proxy>();
    std::string operatorList;
    for (int n = 1; n <= m_options.controls; ++n)
        operatorList += "\"" + operatorAddress(n) + "\",";
    file("operator.toml", fmt::format("controls = [{}]\ntoken = \"{}\"\n", operatorList, m_token));
}

fleet::~fleet()
{
    bool keep = std::getenv("PISTACHIOLATCH_KEEP") != nullptr;
    m_entries.clear();
    m_schedulers.clear();
    m_controls.clear();
    m_standIn.kill();
    if (!keep)
        std::filesystem::remove_all(m_folder);
}

std::string fleet::file(const std::string& name, const std::string& content) const
{
    auto path = m_folder + "/" + name;
    std::ofstream(path) << content;
    return path;
}

std::string fleet::commonSettings(int vm, int port) const
{
    std::string controls;
    constexpr int proxyOffset = 1000;
    int offset = m_options.proxied ? proxyOffset : 0;
    for (int n = 1; n <= m_options.controls; ++n)
        controls += fmt::format("\"{}:{}\",", ip(n), 7103 + offset);
    auto text = fmt::format("[vm]\nname = \"vm{}\"\ndata_centre = \"dc{}\"\n[wire]\n{}controls = [{}]\nlisten = \"{}:{}\"\n", vm, vm % 3 + 1, m_wireKeys, controls, ip(vm), port);
    if (m_options.proxied)
        text += fmt::format("advertise = \"{}:{}\"\n", ip(vm), port + offset);
    return text;
}

std::string fleet::controlLogLines(const std::vector<std::string>& eventPrefixes) const
{
    std::string found;
    for (int n = 1; n <= m_options.controls; ++n) {
        std::istringstream log(readFile(fmt::format("{}/control{}.out", m_folder, n)));
        for (std::string line; std::getline(log, line);) {
            bool wanted = std::any_of(eventPrefixes.begin(), eventPrefixes.end(), [&](const auto& prefix) { return line.find("event=" + prefix) != std::string::npos; });
            if (wanted)
                found += line + "\n";
        }
    }
    return found;
}

void fleet::startEntry(int n)
{
    auto path = file(fmt::format("entry{}.toml", n), commonSettings(n, 7101) + fmt::format("[admin]\nlisten = \"{0}:9101\"\n[callers]\nlisten = \"{0}:8080\"\nmax_body_bytes = 4000000\n[endpoints]\nlisten = \"{0}:8081\"\n", ip(n)));
    m_entries[n] = child_process(buildFolder + "/pistachiolatch-entry", { "--settings", path }, fmt::format("{}/entry{}", m_folder, n));
}

void fleet::startScheduler(int n)
{
    auto path = file(fmt::format("scheduler{}.toml", n), commonSettings(n, 7102) + fmt::format("[admin]\nlisten = \"{}:9102\"\n", ip(n)));
    m_schedulers[n] = child_process(buildFolder + "/pistachiolatch-scheduler", { "--settings", path }, fmt::format("{}/scheduler{}", m_folder, n));
}

void fleet::startControl(int n, bool bootstrap)
{
    std::string data;
    if (n <= m_options.disks) {
        std::filesystem::create_directories(dataFolder(n));
        data = fmt::format("data_folder = \"{}\"\n", dataFolder(n));
    }
    auto path = file(fmt::format("control{}.toml", n), commonSettings(n, 7103) + fmt::format("[admin]\nlisten = \"{0}:9103\"\n[control]\noperator_listen = \"{0}:8090\"\n{1}[[operator]]\nname = \"anna\"\ntoken_sha256 = \"{2}\"\n[[operator]]\nname = \"juris\"\ntoken_sha256 = \"{3}\"\n", ip(n), data, m_tokenSha256, sha256Hex("other-token")));
    std::vector<std::string> arguments { "--settings", path };
    if (bootstrap)
        arguments.push_back("--bootstrap");
    const auto* program = m_options.slowDisks ? "/slow-disk-control" : "/pistachiolatch-control";
    m_controls[n] = child_process(buildFolder + program, arguments, fmt::format("{}/control{}", m_folder, n), { { "SYNC_DELAY_FILE", syncDelayFile(n) } });
}

void fleet::delaySyncs(int n, milliseconds delay) const
{
    std::ofstream(syncDelayFile(n)) << delay.count();
}

void fleet::addEndpoint(const std::string& id, const std::string& role, const std::string& model, int number, std::string& text)
{
    auto address = fmt::format("{}.{}:9000", m_subnet, 100 + number);
    m_endpoints[id] = address;
    text += fmt::format("[[endpoint]]\nid = \"{}\"\nlisten = \"{}\"\nrole = \"{}\"\nmodel = \"{}\"\n{}", id, address, role, model, m_options.endpointLines);
    if (!m_options.proxiedEndpoints)
        return;
    auto proxied = fmt::format("{}.{}:9001", m_subnet, 100 + number);
    m_proxy->forward(proxied, address);
    text += fmt::format("advertise = \"{}\"\n", proxied);
}

void fleet::writeStandInSettings()
{
    std::string text = "announce = [";
    for (int n = 1; n <= m_options.entries; ++n)
        text += fmt::format("\"{}:8081\",", ip(n));
    text += "]\n";
    int number = 0;
    for (int n = 1; n <= m_options.prefill; ++n)
        addEndpoint(fmt::format("prefill-{}", n), "prefill", "advisor-llm", ++number, text);
    for (int n = 1; n <= m_options.decode; ++n)
        addEndpoint(fmt::format("decode-{}", n), "decode", "advisor-llm", ++number, text);
    for (int n = 1; n <= m_options.services; ++n)
        addEndpoint(fmt::format("orderdesk-{}", n), "service", "orderdesk", ++number, text);
    file("endpoints.toml", text);
}

void fleet::start()
{
    if (m_options.proxied) {
        for (int n = 1; n <= 7; ++n) {
            for (int port : { 7101, 7102, 7103 })
                m_proxy->forward(fmt::format("{}:{}", ip(n), port + 1000), fmt::format("{}:{}", ip(n), port));
        }
    }
    for (int n = 1; n <= m_options.controls; ++n)
        startControl(n, n == 1);
    for (int n = 1; n <= m_options.schedulers; ++n)
        startScheduler(n);
    for (int n = 1; n <= m_options.entries; ++n)
        startEntry(n);
    writeStandInSettings();
    m_standIn = child_process(buildFolder + "/stand-in", { "--settings", m_folder + "/endpoints.toml" }, m_folder + "/stand-in");
    auto records = file("records.toml", m_options.records.empty() ? defaultRecords : m_options.records);
    auto applied = command({ "apply", records });
    if (applied.code != 0)
        throw std::runtime_error("apply failed: " + applied.err + applied.out + controlLogLines({ "change_unconfirmed", "control_paused", "leadership_", "storage_" }));
    for (const char* organisation : { "alpha", "beta" })
        m_keys[organisation] = findValue(command({ "key", "issue", organisation }).out, "key");
    bool up = eventually([&] {
        // Waits for all voters and endpoints, so that the start is not mistaken for a fault of the test.
        auto text = command({ "status" }).out;
        std::size_t voters = 0;
        for (auto at = text.find("replica vm="); at != std::string::npos; at = text.find("replica vm=", at + 1))
            ++voters;
        return voters == static_cast<std::size_t>(m_options.controls)
            && text.find(fmt::format("endpoints={} ", m_options.prefill + m_options.decode)) != std::string::npos
            && text.find(fmt::format("shard=service:orderdesk policy=reserve endpoints={} ", m_options.services)) != std::string::npos;
    });
    if (!up)
        throw std::runtime_error("the fleet did not become ready: " + command({ "status" }).out);
}

command_output fleet::command(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), { "--settings", m_folder + "/operator.toml" });
    return runToEnd(buildFolder + "/pistachiolatch", arguments, fmt::format("{}/command{}", m_folder, ++m_commandCount));
}

simple_response fleet::call(const std::string& address, const std::string& method, const std::string& target, const http_headers& headers, const std::string& body, milliseconds timeout) const
{
    asio::io_context context;
    http_request given { method, target, headers, body };
    http_response answer;
    auto run = [&]() -> task_of<void> { answer = co_await http_client::fetch(address, given, milliseconds(1000), timeout); };
    asio::co_spawn(context, run, asio::detached);
    context.run();
    return { answer.status, answer.body, answer.headers, answer.failed != call_failure::None };
}

simple_response fleet::complete(int entry, const std::string& prompt, std::uint32_t maxTokens, const std::string& organisation) const
{
    json::object body { { "model", "advisor-llm" }, { "prompt", prompt }, { "max_tokens", maxTokens } };
    return call(callerAddress(entry), "POST", "/v1/completions", { { "Authorization", "Bearer " + key(organisation) }, { "Content-Type", "application/json" } }, json::serialize(body));
}

simple_response fleet::book(int entry, const std::string& bookingKey, const std::string& body, const std::string& organisation) const
{
    return call(callerAddress(entry), "POST", "/services/orderdesk/reserve", { { "Authorization", "Bearer " + key(organisation) }, { "Idempotency-Key", bookingKey }, { "Content-Type", "application/json" } }, body);
}

void fleet::setFaults(const std::string& endpoint, const std::string& text) const
{
    call(m_endpoints.at(endpoint), "POST", "/test", {}, text);
}

std::int64_t fleet::stat(const std::string& endpoint, const std::string& name) const
{
    auto answer = call(m_endpoints.at(endpoint), "GET", "/stats", {}, "");
    auto value = json::parse(answer.body).at(name);
    return value.is_bool() ? value.as_bool() : value.to_number<std::int64_t>();
}

std::vector<std::string> fleet::modelEndpoints() const
{
    std::vector<std::string> ids;
    for (const auto& [id, address] : m_endpoints) {
        if (!id.starts_with("orderdesk"))
            ids.push_back(id);
    }
    return ids;
}

std::int64_t fleet::statSum(const std::string& name) const
{
    std::int64_t sum = 0;
    for (const auto& id : modelEndpoints())
        sum += stat(id, name);
    return sum;
}

std::string fleet::metric(const std::string& admin, const std::string& line) const
{
    auto text = call(admin, "GET", "/metrics", {}, "").body;
    auto found = text.find("\n" + line + " ");
    if (found == std::string::npos)
        return "";
    auto begin = found + line.size() + 2;
    return text.substr(begin, text.find('\n', begin) - begin);
}

bool fleet::isReady(const std::string& admin) const
{
    return call(admin, "GET", "/readyz", {}, "", milliseconds(1000)).status == 200;
}

int fleet::leader() const
{
    for (int n = 1; n <= m_options.controls; ++n) {
        if (call(operatorAddress(n), "GET", "/v1/status", { { "Authorization", "Bearer " + m_token } }, "", milliseconds(1500)).status == 200)
            return n;
    }
    return 0;
}

int fleet::owner(const std::string& shard)
{
    auto text = command({ "status" }).out;
    auto begin = text.find("shard " + shard + " owner=vm");
    return begin == std::string::npos ? 0 : std::stoi(text.substr(begin + shard.size() + 15));
}

std::string fleet::status(const std::string& field)
{
    return findValue(command({ "status" }).out, field);
}

streaming_caller::streaming_caller(const fleet& where, int entry, const std::string& prompt, std::uint32_t maxTokens, const std::string& organisation)
    : m_socket(m_context)
{
    json::object object { { "model", "advisor-llm" }, { "prompt", prompt }, { "max_tokens", maxTokens }, { "stream", true } };
    auto body = json::serialize(object);
    auto request = fmt::format("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}", where.key(organisation), body.size(), body);
    m_socket.connect(parseAddress(where.callerAddress(entry)));
    asio::write(m_socket, asio::buffer(request));
}

bool streaming_caller::readUntil(const std::string& part)
{
    std::vector<char> block(65536);
    boost::system::error_code error;
    while (m_received.find(part) == std::string::npos) {
        auto bytes = m_socket.read_some(asio::buffer(block), error);
        if (error)
            return false;
        m_received.append(block.data(), bytes);
    }
    return true;
}

std::string streaming_caller::readAll()
{
    readUntil("\r\n0\r\n\r\n");
    return m_received;
}

std::string streaming_caller::text() const
{
    std::string text;
    for (auto at = m_received.find("\"text\":\""); at != std::string::npos; at = m_received.find("\"text\":\"", at + 1)) {
        auto begin = at + 8;
        text += m_received.substr(begin, m_received.find('"', begin) - begin);
    }
    return text;
}

void streaming_caller::disconnect()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace pistachiolatch::test
