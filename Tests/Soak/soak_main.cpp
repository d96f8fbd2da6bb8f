#include "Platform/platform_fleet.h"
#include "platform_names.h"
#include "Soak/soak_checks.h"
#include <atomic>
#include <boost/json.hpp>
#include <CLI/CLI.hpp>
#include <csignal>
#include <fmt/format.h>
#include <random>
#include <thread>

// A randomised soak: the real programs as separate processes, faults from outside them, and the promises checked from
// what callers, operators and endpoints see. The seed decides which faults come and when; what the processes make of
// them also depends on the machine, so a seed that failed is run again until it is traced.

namespace pistachiolatch::test {

namespace {
    using steady = std::chrono::steady_clock;
    constexpr int entries = 2;
    constexpr int controls = 3;
    constexpr milliseconds clientPause { 15 };
    constexpr milliseconds reportInterval { 400 };
    constexpr milliseconds operatorPause { 150 };

    /// A configuration that holds the second key or not.
    std::string configurationOf(std::uint64_t version, bool withSecondKey)
    {
        auto body = boost::json::parse(exampleConfiguration(version));
        if (withSecondKey)
            body.as_object()["tenants"].as_array()[0].as_object()["apiKeys"].as_array().emplace_back("key-2");
        return boost::json::serialize(body);
    }

    class soak {
    public:
        soak(std::uint64_t seed, bool fullDisks)
            : m_seed(seed)
            , m_fullDisks(fullDisks)
            , m_random(seed)
            , m_fleet(controls, entries)
        {
            const char* services[] = { "app", "app", "llm", "llm", "llm" };
            const char* stages[] = { "", "", "prefill", "decode", "decode" };
            for (int i = 0; i < 5; ++i) {
                // Calls to endpoints go through a proxy; the endpoint itself listens beside it.
                auto own = m_fleet.runnerAddress(100 + i);
                m_runners.push_back(std::make_unique<stand_in_runner>(fmt::format("runner-{}", i), own, services[i], stages[i]));
                m_proxy.forward(m_fleet.runnerAddress(1 + i), own);
                m_runners.back()->announceAt(m_fleet.runnerAddress(1 + i));
            }
        }

        int run(std::chrono::seconds length)
        {
            m_fleet.start();
            if (m_fleet.submit(configurationOf(1, true)) != 200)
                m_checks.fail("the first configuration was not accepted");
            m_checks.acknowledged(1);
            std::vector<std::thread> threads;
            threads.emplace_back([this] { reports(); });
            eventually([&] { return m_fleet.entryReady(1) && m_fleet.entryReady(2); });
            threads.emplace_back([this] { operate(); });
            for (int i = 0; i < 4; ++i)
                threads.emplace_back([this, i] { call(i); });
            auto end = steady::now() + length;
            while (steady::now() < end) {
                if (m_fullDisks && pick(2) == 1)
                    injectBesideFullDisk();
                else
                    injectOne();
            }
            heal();
            m_clientsStop = true;
            for (std::size_t i = 1; i < threads.size(); ++i)
                threads[i].join();
            settle();
            m_stop = true;
            threads[0].join();
            return report();
        }

    private:
        void pause(int least, int most) { std::this_thread::sleep_for(milliseconds(std::uniform_int_distribution<int>(least, most)(m_random))); }
        int pick(int count) { return std::uniform_int_distribution<int>(1, count)(m_random); }

        /// A control's disk is full from before another fault until after it. A control that the fault restarts finds room.
        void injectBesideFullDisk()
        {
            int full = pick(controls);
            m_fleet.control(full).refuseWrites(true);
            pause(0, 400);
            injectOne();
            pause(0, 2500);
            if (!m_fleet.control(full).isRunning())
                m_checks.fail("a control ended while its disk was full");
            m_fleet.control(full).refuseWrites(false);
        }

        void injectOne()
        {
            switch (pick(8)) {
            case 1: {
                auto& one = m_fleet.entry(pick(entries));
                one.signal(SIGSTOP);
                pause(100, 2500);
                one.signal(SIGCONT);
                break;
            }
            case 2: {
                auto& one = m_fleet.control(pick(controls));
                one.signal(SIGSTOP);
                pause(100, 3000);
                one.signal(SIGCONT);
                break;
            }
            case 3: {
                int n = pick(controls);
                m_fleet.control(n).kill();
                pause(0, 1000);
                m_fleet.startControl(n, false);
                break;
            }
            case 4: {
                int n = pick(entries);
                m_fleet.entry(n).kill();
                pause(0, 600);
                m_fleet.startEntry(n);
                break;
            }
            case 5: {
                int n = pick(entries);
                m_fleet.entry(n).signal(SIGTERM);
                if (m_fleet.entry(n).wait() != 0)
                    m_checks.fail("an entry did not end with 0 after SIGTERM");
                m_fleet.startEntry(n);
                break;
            }
            case 6:
                for (int n = 1; n <= controls; ++n)
                    m_fleet.control(n).kill();
                for (int n = 1; n <= controls; ++n)
                    m_fleet.startControl(n, false);
                break;
            case 7: {
                constexpr runner_mode modes[] = { runner_mode::RefuseUnrun, runner_mode::BreakUnanswered, runner_mode::BreakMidway, runner_mode::Unsealed, runner_mode::ServerError };
                auto& runner = *m_runners[static_cast<std::size_t>(pick(5)) - 1];
                runner.setMode(modes[pick(5) - 1]);
                pause(200, 1500);
                runner.setMode(runner_mode::Good);
                break;
            }
            default: {
                auto address = m_fleet.runnerAddress(pick(5));
                auto ip = address.substr(0, address.rfind(':'));
                link_rule rule;
                auto kind = pick(4);
                rule.cut = kind == 1;
                rule.frozen = kind == 2;
                rule.delay = milliseconds(kind == 3 ? 80 : 0);
                if (kind == 4)
                    m_proxy.closeConnections(ip);
                m_proxy.setRule("", ip, rule);
                pause(200, 1500);
                m_proxy.setRule("", ip, {});
                break;
            }
            }
            pause(50, 500);
        }

        void heal()
        {
            for (int n = 1; n <= 5; ++n) {
                auto address = m_fleet.runnerAddress(n);
                m_proxy.setRule("", address.substr(0, address.rfind(':')), {});
                m_runners[static_cast<std::size_t>(n) - 1]->setMode(runner_mode::Good);
            }
        }

        void reports()
        {
            std::mt19937_64 random(m_seed + 1);
            while (!m_stop) {
                for (auto& runner : m_runners)
                    m_fleet.report(*runner, "ready", static_cast<int>(random() % controls) + 1);
                std::this_thread::sleep_for(reportInterval);
            }
        }

        void operate()
        {
            std::mt19937_64 random(m_seed + 2);
            std::uint64_t version = 1;
            bool withKey = true;
            while (!m_clientsStop) {
                if (random() % 8 == 0)
                    withKey = !withKey;
                ++version;
                if (withKey)
                    m_checks.keyGiven();
                auto body = configurationOf(version, withKey);
                // The same change goes to one control after the other until it is acknowledged.
                for (int tries = 0; tries < 40 && !m_clientsStop; ++tries) {
                    auto address = m_fleet.controlAddress(static_cast<int>(random() % controls) + 1);
                    auto answer = m_fleet.call(address, "PUT", platform_names::configurationPath, {}, body, milliseconds(1000));
                    if (answer.status != 200)
                        continue;
                    m_checks.acknowledged(version);
                    if (!withKey)
                        m_checks.keyWithdrawn(steady::now());
                    break;
                }
                auto before = m_checks.newestAcknowledged();
                auto read = m_fleet.call(m_fleet.controlAddress(static_cast<int>(random() % controls) + 1), "GET", platform_names::configurationPath, {}, {}, milliseconds(1000));
                if (read.status == 200 && !read.broken)
                    m_checks.readBack(versionOf(read.body), before);
                std::this_thread::sleep_for(operatorPause);
            }
        }

        static std::uint64_t versionOf(const std::string& body)
        {
            return static_cast<std::uint64_t>(boost::json::parse(body).at("version").as_int64());
        }

        void call(int number)
        {
            std::mt19937_64 random(m_seed + 10 + static_cast<std::uint64_t>(number));
            for (int i = 0; !m_clientsStop; ++i) {
                callOnce(fmt::format("{}-{}-{}", m_seed, number, i), random);
                std::this_thread::sleep_for(clientPause);
            }
        }

        void callOnce(const std::string& id, std::mt19937_64& random)
        {
            auto address = m_fleet.entryAddress(static_cast<int>(random() % entries) + 1);
            bool secondKey = random() % 4 == 0;
            http_headers headers { { "Host", "h.example" }, { platform_names::requestId, id }, { platform_names::deadlineMs, "3000" },
                { platform_names::authorization, secondKey ? "Token key-2" : "Token key-1" } };
            auto sentAt = steady::now();
            simple_response answer;
            switch (random() % 4) {
            case 0:
                answer = m_fleet.call(address, "GET", "/read/x", headers, {}, milliseconds(3000));
                if (answer.status == 200 && !answer.broken)
                    m_checks.answerCame(id, answer.body);
                break;
            case 1: {
                headers.emplace_back(platform_names::tokenUsage, "500,432");
                const char* path = random() % 2 ? "/report/x" : "/once/x";
                answer = m_fleet.call(address, "POST", path, headers, "prompt", milliseconds(3000));
                if (answer.status == 200 && !answer.broken)
                    m_checks.streamEnded(id, answer.body, stand_in_runner::eventsOfStream);
                break;
            }
            default:
                answer = m_fleet.call(address, "POST", "/book/x", headers, "two kits", milliseconds(3000));
                m_checks.bookingEnded(id, answer.broken ? 0 : answer.status);
                if (answer.status == 200 && !answer.broken)
                    m_checks.answerCame(id, answer.body);
            }
            if (secondKey && answer.status == 200)
                m_checks.servedWithKey(sentAt);
        }

        /// After the last fault everything must be served again, and the newest acknowledged change must be there.
        void settle()
        {
            if (!eventually([&] { return m_fleet.entryReady(1) && m_fleet.entryReady(2); }, std::chrono::seconds(12)))
                m_checks.fail("not every entry was ready again 12 s after the last fault");
            bool served = eventually([&] {
                http_headers headers { { "Host", "h.example" }, { platform_names::requestId, "last" }, { platform_names::authorization, "Token key-1" } };
                return m_fleet.call(m_fleet.entryAddress(1), "GET", "/read/x", headers, {}, milliseconds(2000)).status == 200;
            },
                std::chrono::seconds(12));
            if (!served)
                m_checks.fail("nothing was served 12 s after the last fault");
            simple_response read;
            bool told = eventually([&] {
                read = m_fleet.call(m_fleet.controlAddress(1), "GET", platform_names::configurationPath, {}, {}, milliseconds(1000));
                return read.status == 200;
            },
                std::chrono::seconds(12));
            if (!told)
                m_checks.fail("the configuration could not be read back at the end");
            else
                m_checks.readBack(versionOf(read.body), m_checks.newestAcknowledged());
        }

        int report()
        {
            std::map<std::string, int> runs;
            for (const auto& runner : m_runners) {
                for (const auto& [id, count] : runner->runs())
                    runs[id] += count;
            }
            m_checks.compareRuns(runs);
            std::string line = fmt::format("seed {}:", m_seed);
            for (const auto& [what, count] : m_checks.counts())
                line += fmt::format(" {}: {};", what, count);
            fmt::print("{}\n", line);
            for (const auto& what : m_checks.failures())
                fmt::print("seed {} BROKEN: {}\n", m_seed, what);
            return m_checks.failures().empty() ? 0 : 1;
        }

        std::uint64_t m_seed;
        bool m_fullDisks;
        std::mt19937_64 m_random;
        platform_fleet m_fleet;
        fault_proxy m_proxy;
        std::vector<std::unique_ptr<stand_in_runner>> m_runners;
        soak_checks m_checks;
        std::atomic<bool> m_clientsStop { false };
        std::atomic<bool> m_stop { false };
    };
}

} // namespace pistachiolatch::test

int main(int argc, char** argv)
{
    CLI::App app("Runs the platform's programs under random faults and checks their promises.", "platform-soak");
    std::uint64_t first = 1;
    int seeds = 1;
    int seconds = 12;
    bool fullDisks = false;
    app.add_option("--seed", first, "the first seed");
    app.add_option("--seeds", seeds, "how many seeds, one after the other");
    app.add_option("--seconds", seconds, "how long faults come under each seed");
    app.add_flag("--full-disks", fullDisks, "disks of control processes are full now and then");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    int broken = 0;
    for (int i = 0; i < seeds; ++i)
        broken += pistachiolatch::test::soak(first + static_cast<std::uint64_t>(i), fullDisks).run(std::chrono::seconds(seconds));
    return broken == 0 ? 0 : 1;
}
