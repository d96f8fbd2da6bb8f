// Guards against a busy plain service whose calls depend on its owner: callers must be answered or refused at once, and
// bookings run once, also when the owner or an entry is killed while calls wait.
#include "Platform/platform_fleet.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <sstream>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr std::chrono::milliseconds serviceTime { 150 };
/// Several times as many callers as the endpoint has slots.
constexpr int callerCount = 40;
constexpr milliseconds callTimeout { 8000 };

http_headers makeHeaders(const std::string& id)
{
    return { { "Host", "h.example" }, { platform_names::requestId, id }, { platform_names::deadlineMs, "5000" }, { platform_names::authorization, "Token key-1" } };
}

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
            auto answer = m_fleet.call(m_fleet.entryAddress(1 + (caller + i) % m_fleet.entries()), "POST", "/book/x", makeHeaders(id), id, callTimeout);
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

/// Callers that leave long before a call that waits is refused. They leave again and again until the object is destroyed.
class impatient_callers {
public:
    static constexpr milliseconds patience { 60 };

    explicit impatient_callers(platform_fleet& fleet)
    {
        for (int i = 0; i < 6; ++i) {
            m_threads.emplace_back([this, &fleet, i] {
                for (int n = 0; !m_stopped; ++n) {
                    fleet.call(fleet.entryAddress(1), "POST", "/book/x", makeHeaders(fmt::format("left-{}-{}", i, n)), "left", patience);
                }
            });
        }
    }
    ~impatient_callers()
    {
        m_stopped = true;
        for (auto& thread : m_threads)
            thread.join();
    }
    impatient_callers(const impatient_callers&) = delete;
    impatient_callers& operator=(const impatient_callers&) = delete;

private:
    std::atomic<bool> m_stopped { false };
    std::vector<std::thread> m_threads;
};

/// The number in a log line after the field's name; -1 if it has none.
int fieldOf(const std::string& line, const std::string& name)
{
    auto at = line.find(" " + name + "=");
    return at == std::string::npos ? -1 : std::stoi(line.substr(at + name.size() + 2));
}

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
    endpoint_reporter reports(fleet, { &app1, &app2 });
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
}

// Guards against bookings that are made for callers who left while their calls waited for a slot.
TEST_CASE("A call whose caller left while it waited is not sent")
{
    platform_fleet fleet(3, 2);
    fake_endpoint app("app-1", fleet.endpointAddress(1), "app", "");
    app.setDelay(serviceTime);
    fleet.start();
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7, 10'000'000)) == 200);
    endpoint_reporter reports(fleet, { &app });
    REQUIRE(eventually([&] { return fleet.isEntryReady(1) && fleet.isEntryReady(2); }));
    auto callsLeft = [&] {
        int left = 0;
        std::istringstream lines(readFile(fleet.folder() + "/entry-1.out"));
        for (std::string line; std::getline(lines, line);) {
            if (line.find("event=call_ended") == std::string::npos || fieldOf(line, "endpoint_wait_ms") < 2 * impatient_callers::patience.count() || line.find("request=left-") == std::string::npos)
                continue;
            ++left;
            CHECK(fieldOf(line, "sends") == 0);
        }
        return left;
    };
    {
        booking_load load(fleet);
        REQUIRE(eventually([&] { return controlWithEvent(fleet, "service_queued") != 0; }));
        impatient_callers callers(fleet);
        auto answeredBefore = load.answered();
        CHECK(eventually([&] { return load.answered() > answeredBefore + 100; }));
    }
    CHECK(callsLeft() > 0);
}
