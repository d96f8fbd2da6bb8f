#pragma once
#include "Coordination/coordination_fleet.h"
#include <catch2/catch.hpp>

namespace pistachiolatch::test {

/// A leader and entries with a slow link each.
class slow_fleet {
public:
    /// The number selects a range of loopback addresses; it must be unique in a test program.
    explicit slow_fleet(int network)
        : m_network(network)
        , m_leaderAddress(fmt::format("127.8.{}.1:23710", network))
    {
        leader = std::make_unique<test_leader>(context, clock, m_leaderAddress);
        REQUIRE(runUntil(
            context, [&] { return leader->isLeader(); }, startTimeout));
    }
    ~slow_fleet()
    {
        entries.clear();
        context.restart();
        context.poll();
        leader.reset();
    }
    slow_fleet(const slow_fleet&) = delete;
    slow_fleet& operator=(const slow_fleet&) = delete;

    void submit(std::uint64_t version, const std::string& body)
    {
        leader->submit(version, body);
        REQUIRE(runUntil(
            context, [&] { return leader->version() == version; }, startTimeout));
    }

    void startEntries(int count)
    {
        for (int i = 0; i < count; ++i) {
            auto address = fmt::format("127.8.{}.{}:{}", m_network, 2 + i % 250, 23711 + i / 250);
            auto ip = address.substr(0, address.find(':'));
            proxy.setRule("", ip, { .bytesPerSecond = slowLink });
            proxy.forward(address, m_leaderAddress);
            m_entryIps.insert(ip);
            entries.push_back(std::make_unique<test_entry>(context, clock, address));
        }
    }

    /// Changes the bandwidth of all entries' links.
    void throttle(std::size_t bytesPerSecond)
    {
        for (const auto& ip : m_entryIps)
            proxy.setRule("", ip, { .bytesPerSecond = bytesPerSecond });
    }

    bool allServe(std::uint64_t version) const
    {
        return std::all_of(entries.begin(), entries.end(), [&](const auto& one) { return one->serves(version); });
    }

    boost::asio::io_context context;
    steady_clock_source clock;
    fault_proxy proxy;
    std::unique_ptr<test_leader> leader;
    std::vector<std::unique_ptr<test_entry>> entries;

private:
    /// 10 Mbit/s.
    static constexpr std::size_t slowLink = 1'250'000;
    static constexpr std::chrono::milliseconds startTimeout { 5000 };
    int m_network;
    std::string m_leaderAddress;
    std::set<std::string> m_entryIps;
};

} // namespace pistachiolatch::test
