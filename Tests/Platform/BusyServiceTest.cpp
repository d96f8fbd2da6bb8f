// Guards against a busy plain service whose calls depend on its owner: callers must be answered or refused at once, and
// bookings run once, also when the owner or an entry is killed while calls wait.
#include "Platform/platform_fleet.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr std::chrono::milliseconds serviceTime { 150 };
/// Several times as many callers as the endpoint has slots.
constexpr int callerCount = 40;
constexpr milliseconds callTimeout { 8000 };

/// Callers that send bookings to all entries in turn, each with an id of its own.
class booking_load {
public:
    explicit booking_load(platform_fleet& fleet)
        : m_fleet(fleet)
    {
        for (int i = 0; i < callerCount; ++i)
            m_callers.emplace_back([this, i] { run(i); });
    }
    ~booking_load() { stop(); }
    booking_load(const booking_load&) = delete;
    booking_load& operator=(const booking_load&) = delete;

    void stop()
    {
        m_stopped = true;
        for (auto& caller : m_callers) {
            if (caller.joinable())
                caller.join();
        }
    }
    int answered() const { return m_answered; }
    int refused() const { return m_refused; }
    int withoutRetryAfter() const { return m_withoutRetryAfter; }
    /// Ids of the requests whose refusal says that they have not run.
    std::vector<std::string> notRun()
    {
        std::lock_guard lock(m_mutex);
        return m_notRun;
    }

private:
    void run(int caller)
    {
        for (int i = 0; !m_stopped; ++i) {
            auto id = fmt::format("booking-{}-{}", caller, i);
            http_headers headers { { "Host", "h.example" }, { platform_names::requestId, id }, { platform_names::deadlineMs, "5000" }, { platform_names::authorization, "Token key-1" } };
            auto answer = m_fleet.call(m_fleet.entryAddress(1 + (caller + i) % m_fleet.entries()), "POST", "/book/x", headers, id, callTimeout);
            if (answer.status == 200 && !answer.broken)
                ++m_answered;
            if (answer.status != 503)
                continue;
            ++m_refused;
            m_withoutRetryAfter += answer.header("Retry-After").empty() ? 1 : 0;
            std::lock_guard lock(m_mutex);
            m_notRun.push_back(id);
        }
    }

    platform_fleet& m_fleet;
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_answered { 0 };
    std::atomic<int> m_refused { 0 };
    std::atomic<int> m_withoutRetryAfter { 0 };
    std::mutex m_mutex;
    std::vector<std::string> m_notRun;
    std::vector<std::thread> m_callers;
};

/// A control process whose output has the event; 0 if none has.
int controlWithEvent(const platform_fleet& fleet, const std::string& event)
{
    for (int n = 1; n <= fleet.controls(); ++n) {
        if (readFile(fmt::format("{}/control-{}.out", fleet.folder(), n)).find("event=" + event) != std::string::npos)
            return n;
    }
    return 0;
}
}

TEST_CASE("Calls to a busy service are placed by one owner, and go on when it or an entry is killed")
{
    platform_fleet fleet(3, 2);
    fake_endpoint app1("app-1", fleet.endpointAddress(1), "app", "");
    fake_endpoint app2("app-2", fleet.endpointAddress(2), "app", "");
    app1.setDelay(serviceTime);
    app2.setDelay(serviceTime);
    fleet.start();
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7, 10'000'000)) == 200);
    std::atomic<bool> reporting { true };
    std::thread reporter([&] {
        for (int control = 1; reporting; control = control % 3 + 1) {
            fleet.sendReport(app1, "ready", control);
            fleet.sendReport(app2, "ready", control);
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
    });
    CHECK(eventually([&] { return fleet.isEntryReady(1) && fleet.isEntryReady(2); }));
    {
        booking_load load(fleet);
        CHECK(eventually([&] { return controlWithEvent(fleet, "service_queued") != 0; }));
        // More calls wait than start in time, so some are refused.
        CHECK(eventually([&] { return load.answered() > 60 && load.refused() > 20; }));

        int owner = controlWithEvent(fleet, "service_queued");
        if (owner != 0)
            fleet.control(owner).kill();
        auto answeredBefore = load.answered();
        CHECK(eventually([&] { return load.answered() > answeredBefore + 60; }));

        // The slots of a killed entry's calls come back: the other entry alone keeps the endpoints busy.
        fleet.entry(2).kill();
        answeredBefore = load.answered();
        CHECK(eventually([&] { return load.answered() > answeredBefore + 100; }));
        load.stop();
        CHECK(load.withoutRetryAfter() == 0);
        std::map<std::string, int> runs = app1.runCounts();
        for (const auto& [id, count] : app2.runCounts())
            runs[id] += count;
        for (const auto& [id, count] : runs)
            CHECK(count == 1);
        for (const auto& id : load.notRun())
            CHECK(runs.count(id) == 0);
    }
    reporting = false;
    reporter.join();
}
