#include "records/records.h"
#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <mutex>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
// The burst equals ten seconds of the rate, so that an owner that starts with a full bucket clearly exceeds the limit.
constexpr int rate = 300;
constexpr int burst = 3000;

const std::string records = fmt::format(R"(
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
rate = {}
burst = {}
[[limit]]
name = "beta"
rate = 1000000
burst = 1000000
[[model]]
name = "advisor-llm"
model_version = "v1"
[[service]]
name = "orderdesk"
cost_tokens = 20
)",
    rate, burst);

/// Sends requests of one organisation from several threads and records when each admitted call was sent and answered.
class load_generator {
public:
    explicit load_generator(const fleet& testFleet)
    {
        constexpr int senders = 6;
        for (int i = 0; i < senders; ++i)
            m_threads.emplace_back([this, &testFleet, i] { sendRequests(testFleet, i % 3 + 1); });
    }
    void stop()
    {
        m_stop = true;
        for (auto& thread : m_threads)
            thread.join();
    }
    /// The largest excess of admitted tokens over rate x duration + burst in any window. A window counts only calls that
    /// were both sent and answered within it, because the time of admission lies between the two.
    double maxExcess() const
    {
        double maximum = -1e18;
        for (const auto& first : m_calls) {
            for (const auto& last : m_calls) {
                if (last.answeredAt < first.sentAt)
                    continue;
                double total = 0;
                for (const auto& call : m_calls)
                    total += call.sentAt >= first.sentAt && call.answeredAt <= last.answeredAt ? 20 : 0;
                auto seconds = std::chrono::duration<double>(last.answeredAt - first.sentAt).count();
                maximum = std::max(maximum, total - (seconds * rate + burst));
            }
        }
        return maximum;
    }
    std::size_t admittedCount() const
    {
        std::lock_guard lock(m_mutex);
        return m_calls.size();
    }

private:
    struct admitted_call {
        time_point sentAt;
        time_point answeredAt;
    };
    void sendRequests(const fleet& testFleet, int entry)
    {
        while (!m_stop) {
            admitted_call call;
            call.sentAt = std::chrono::steady_clock::now();
            auto response = testFleet.call(testFleet.callerAddress(entry), "GET", "/services/orderdesk/stock", { { "Authorization", "Bearer " + testFleet.key("alpha") } }, "");
            call.answeredAt = std::chrono::steady_clock::now();
            if (response.status != 200)
                continue;
            std::lock_guard lock(m_mutex);
            m_calls.push_back(call);
        }
    }
    std::atomic<bool> m_stop { false };
    mutable std::mutex m_mutex;
    std::vector<admitted_call> m_calls;
    std::vector<std::thread> m_threads;
};
}

// Guards against grants of an old and a new bucket owner that together exceed rate and burst in some window. One
// organisation sends many times its rate through all entries while the owner is killed, suspended past its lease and
// resumed, or isolated.
TEST_CASE("Rate and burst hold across all VMs while the bucket changes owners", "[promise]")
{
    auto faultKind = GENERATE(std::string("kill"), std::string("freeze"), std::string("cut"));
    fleet_options options;
    options.records = records;
    options.schedulers = 3;
    options.proxied = faultKind == "cut";
    options.endpointLines = "service_ms = 1\n";
    fleet testFleet(options);
    testFleet.start();
    load_generator generator(testFleet);
    REQUIRE(eventually([&] { return generator.admittedCount() > 160; }));
    for (int round = 0; round < 2; ++round) {
        int victim = testFleet.owner(limitShard("alpha"));
        REQUIRE(victim > 0);
        INFO(faultKind << " scheduler of vm" << victim);
        if (faultKind == "kill")
            testFleet.scheduler(victim).kill();
        else if (faultKind == "freeze")
            testFleet.scheduler(victim).signal(SIGSTOP);
        else
            testFleet.proxy().isolate(testFleet.ip(victim), true);
        auto before = generator.admittedCount();
        REQUIRE(eventually([&] { return generator.admittedCount() > before + 40; }));
        if (faultKind == "kill")
            testFleet.startScheduler(victim);
        else if (faultKind == "freeze")
            testFleet.scheduler(victim).signal(SIGCONT);
        else
            testFleet.proxy().isolate(testFleet.ip(victim), false);
        REQUIRE(eventually([&] { return testFleet.isReady(testFleet.schedulerAdminAddress(victim)); }));
    }
    generator.stop();
    CHECK(generator.maxExcess() <= 0);
}

// Guards against refusing requests within their limit when the entries learn of a new owner before it does.
TEST_CASE("A request is granted by an owner that learns of its shard after the entries", "[promise]")
{
    fleet_options options;
    options.proxied = true;
    fleet testFleet(options);
    testFleet.start();
    int leader = testFleet.leader();
    REQUIRE(leader > 0);
    int owner = testFleet.owner(limitShard("alpha"));
    REQUIRE(owner > 0);
    int successor = owner == 1 ? 2 : 1;
    int entry = leader == 3 ? owner : 3;
    testFleet.proxy().setRule(testFleet.ip(leader), testFleet.ip(successor), { .delay = milliseconds(300) });
    testFleet.scheduler(owner).kill();
    auto response = testFleet.complete(entry, "during the change of owner", 5);
    INFO(response.body);
    CHECK(response.status == 200);
}
