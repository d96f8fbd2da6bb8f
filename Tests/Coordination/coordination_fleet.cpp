#include "Coordination/coordination_fleet.h"

#include <filesystem>
#include <unistd.h>

namespace pistachiolatch::test {

namespace {
    /// Reads the version at the start of the body; tests use nothing else of a configuration.
    result<configuration> decodeVersion(const std::string& body)
    {
        configuration decoded;
        decoded.version = std::strtoull(body.c_str(), nullptr, 10);
        return decoded;
    }
}

std::string routesText(std::size_t bytes)
{
    std::mt19937_64 random(7);
    std::string text;
    while (text.size() < bytes) {
        text += fmt::format(R"({{"name":"r-{:x}","host":"{:x}.example","pathPrefix":"/{:x}/","routeType":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"s-1","maxAttempts":2,"public":false}},)",
            random() & 0xffffffff, random() & 0xffff, random() & 0xffffffff);
    }
    return text;
}

std::string randomText(std::size_t bytes)
{
    std::mt19937_64 random(11);
    std::string text(bytes, ' ');
    for (auto& one : text)
        one = static_cast<char>(random());
    return text;
}

test_leader::test_leader(boost::asio::io_context& context, const clock_source& clock, std::string address)
    : m_context(context)
    , m_folder(fmt::format("{}/leader-{}-{}", std::filesystem::temp_directory_path().string(), ::getpid(), vmOfAddress(address)))
    , m_network(context, clock, m_metrics)
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    replica_events events;
    events.documentChanged = [this] { m_coordinator->onDocumentChanged(); };
    events.evacuationsChanged = [this] { m_coordinator->onEvacuationsChanged(); };
    events.leadershipChanged = [this](bool leads) { m_coordinator->onLeadershipChanged(leads); };
    m_replica = std::make_unique<document_replica>(context, m_network, clock, m_metrics, replica_settings { m_folder, { address, { address }, true } }, std::move(events));
    m_coordinator = std::make_unique<entry_coordinator>(context, m_network, *m_replica, clock, m_metrics, coordinator_settings {}, decodeVersion);
    m_network.onMessage([this](const wire::envelope& message, const peer_network::peer& from) {
        if (!m_replica->onMessage(message, from))
            m_coordinator->onMessage(message, from);
    });
    m_network.onLost([this](const peer_network::peer& lost) { m_coordinator->onPeerLost(lost); });
    if (auto listening = m_network.listen(address); !listening)
        throw std::runtime_error(listening.error().message);
    m_network.start();
    m_replica->start();
    if (!m_replica->hasStorage())
        throw std::runtime_error(m_folder + " can't be used");
    m_coordinator->start();
}

test_leader::~test_leader()
{
    m_coordinator->stop();
    m_replica->stop();
    m_network.stop();
    // Posted handlers still refer to this leader's members and must run before it is destroyed.
    m_context.restart();
    m_context.poll();
    std::filesystem::remove_all(m_folder);
}

void test_leader::submit(std::uint64_t version, const std::string& body)
{
    wire::document document;
    document.set_version(version);
    document.set_body(std::to_string(version) + " " + body);
    m_replica->submit(std::move(document), [](submit_result) {});
}

test_entry::test_entry(boost::asio::io_context& context, const clock_source& clock, const std::string& control)
    : m_context(context)
    , m_network(context, clock, m_metrics)
    , m_link(context, m_network, clock, m_metrics, control_link_settings { { control } }, decodeVersion, *this)
{
    m_network.onMessage([this](const wire::envelope& message, const peer_network::peer&) { m_link.onMessage(message); });
    m_network.start();
    m_link.start();
}

test_entry::~test_entry()
{
    m_link.stop();
    m_network.stop();
    m_context.restart();
    m_context.poll();
}

void test_entry::onEndpoints(const google::protobuf::RepeatedPtrField<wire::endpoint_row>& rows, bool everything)
{
    if (everything)
        m_endpoints.clear();
    m_endpointUpdates += rows.empty() ? 0 : 1;
    for (const auto& row : rows)
        m_endpoints.insert(row.report().id());
}

bool runUntil(boost::asio::io_context& context, const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    constexpr std::chrono::milliseconds pollInterval { 10 };
    auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        context.restart();
        context.run_for(pollInterval);
    }
    return true;
}

} // namespace pistachiolatch::test
