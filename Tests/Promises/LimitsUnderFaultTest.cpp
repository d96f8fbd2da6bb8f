#include "records/records.h"
#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <mutex>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
// The burst is worth ten seconds of the rate: an owner that started with a full bucket would show at once.
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

/// Floods the fleet as one organisation from several threads and notes when each call was admitted.
class flood {
public:
    explicit flood(const fleet& where)
    {
        constexpr int senders = 6;
        for (int i = 0; i < senders; ++i)
            m_threads.emplace_back([this, &where, i] { send(where, i % 3 + 1); });
    }
    void stop()
    {
        m_stop = true;
        for (auto& thread : m_threads)
            thread.join();
    }
    /// The most tokens above rate x length + burst that any window saw, counting each call from its earliest to
    /// its latest possible moment in the caller's disfavour.
    double worstExcess() const
    {
        double worst = -1e18;
        for (const auto& first : m_calls) {
            for (const auto& last : m_calls) {
                if (last.answered < first.sent)
                    continue;
                double total = 0;
                for (const auto& call : m_calls)
                    total += call.sent >= first.sent && call.answered <= last.answered ? 20 : 0;
                auto seconds = std::chrono::duration<double>(last.answered - first.sent).count();
                worst = std::max(worst, total - (seconds * rate + burst));
            }
        }
        return worst;
    }
    std::size_t admitted() const
    {
        std::lock_guard lock(m_mutex);
        return m_calls.size();
    }

private:
    struct admitted_call {
        time_point sent;
        time_point answered;
    };
    void send(const fleet& where, int entry)
    {
        while (!m_stop) {
            admitted_call call;
            call.sent = std::chrono::steady_clock::now();
            auto answer = where.call(where.callerAddress(entry), "GET", "/services/orderdesk/stock", { { "Authorization", "Bearer " + where.key("alpha") } }, "");
            call.answered = std::chrono::steady_clock::now();
            if (answer.status != 200)
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

// One organisation sends many times its rate through every entry. The scheduler that owns its bucket is killed, or
// frozen past its lease and thawed, or cut off; another takes over. If the old owner's grants and the new owner's
// added up, some window would see more than rate and burst.
TEST_CASE("Rate and burst hold over all VMs while the bucket changes owners", "[promise]")
{
    auto faultKind = GENERATE(std::string("kill"), std::string("freeze"), std::string("cut"));
    fleet_options shape;
    shape.records = records;
    shape.schedulers = 3;
    shape.proxied = faultKind == "cut";
    shape.endpointLines = "service_ms = 1\n";
    fleet where(shape);
    where.start();
    flood traffic(where);
    REQUIRE(eventually([&] { return traffic.admitted() > 160; }));
    for (int round = 0; round < 2; ++round) {
        int victim = where.owner(limitShard("alpha"));
        REQUIRE(victim > 0);
        INFO(faultKind << " scheduler of vm" << victim);
        if (faultKind == "kill")
            where.scheduler(victim).kill();
        else if (faultKind == "freeze")
            where.scheduler(victim).signal(SIGSTOP);
        else
            where.proxy().isolate(where.ip(victim), true);
        auto before = traffic.admitted();
        REQUIRE(eventually([&] { return traffic.admitted() > before + 40; }));
        if (faultKind == "kill")
            where.startScheduler(victim);
        else if (faultKind == "freeze")
            where.scheduler(victim).signal(SIGCONT);
        else
            where.proxy().isolate(where.ip(victim), false);
        REQUIRE(eventually([&] { return where.isReady(where.schedulerAdminAddress(victim)); }));
    }
    traffic.stop();
    CHECK(traffic.worstExcess() <= 0);
}
