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

// A randomised soak test: runs the programs as separate processes, injects faults from outside and checks the guarantees
// that callers, operators and endpoints can observe. The seed determines the faults and their times, but the outcome also
// depends on the timing of the machine: a failing seed may need several runs to reproduce.

namespace pistachiolatch::test {

namespace {
    using steady = std::chrono::steady_clock;
    constexpr int entries = 2;
    constexpr int controls = 3;
    constexpr milliseconds clientInterval { 15 };
    constexpr milliseconds reportInterval { 400 };
    constexpr milliseconds operatorInterval { 150 };

    /// Returns a configuration with or without the second key.
    std::string makeConfiguration(std::uint64_t version, bool withSecondKey)
    {
        auto body = boost::json::parse(exampleConfiguration(version));
        if (withSecondKey)
            body.as_object()["tenants"].as_array()[0].as_object()["apiKeys"].as_array().emplace_back("key-2");
        return boost::json::serialize(body);
    }

    class soak_run {
    public:
        soak_run(std::uint64_t seed, bool fullDisks)
            : m_seed(seed)
            , m_fullDisks(fullDisks)
            , m_random(seed)
            , m_fleet(controls, entries)
        {
            const char* services[] = { "app", "app", "llm", "llm", "llm" };
            const char* stages[] = { "", "", "prefill", "decode", "decode" };
            for (int i = 0; i < 5; ++i) {
                // Endpoints report the address of the fault proxy, which forwards to their own.
                auto directAddress = m_fleet.endpointAddress(100 + i);
                m_endpoints.push_back(std::make_unique<fake_endpoint>(fmt::format("runner-{}", i), directAddress, services[i], stages[i]));
                m_proxy.forward(m_fleet.endpointAddress(1 + i), directAddress);
                m_endpoints.back()->setReportedAddress(m_fleet.endpointAddress(1 + i));
            }
        }

        int run(std::chrono::seconds length)
        {
            m_fleet.start();
            if (m_fleet.submitConfiguration(makeConfiguration(1, true)) != 200)
                m_checks.addFailure("the first configuration was not accepted");
            m_checks.recordAcknowledged(1);
            std::vector<std::thread> threads;
            threads.emplace_back([this] { sendReports(); });
            eventually([&] { return m_fleet.isEntryReady(1) && m_fleet.isEntryReady(2); });
            threads.emplace_back([this] { changeConfigurations(); });
            for (int i = 0; i < 4; ++i)
                threads.emplace_back([this, i] { runClient(i); });
            auto end = steady::now() + length;
            while (steady::now() < end) {
                if (m_fullDisks && randomUpTo(2) == 1)
                    injectFaultWithFullDisk();
                else
                    injectFault();
            }
            clearFaults();
            m_stopClients = true;
            for (std::size_t i = 1; i < threads.size(); ++i)
                threads[i].join();
            checkRecovery();
            m_stopReports = true;
            threads[0].join();
            return printResult();
        }

    private:
        void sleepRandomly(int minMs, int maxMs) { std::this_thread::sleep_for(milliseconds(std::uniform_int_distribution<int>(minMs, maxMs)(m_random))); }
        int randomUpTo(int count) { return std::uniform_int_distribution<int>(1, count)(m_random); }

        /// Injects a fault while the disk of one control process is full. A control process that the fault restarts can write.
        void injectFaultWithFullDisk()
        {
            int victim = randomUpTo(controls);
            m_fleet.control(victim).refuseWrites(true);
            sleepRandomly(0, 400);
            injectFault();
            sleepRandomly(0, 2500);
            if (!m_fleet.control(victim).isRunning())
                m_checks.addFailure("a control process exited while its disk was full");
            m_fleet.control(victim).refuseWrites(false);
        }

        void injectFault()
        {
            switch (randomUpTo(8)) {
            case 1: {
                auto& process = m_fleet.entry(randomUpTo(entries));
                process.signal(SIGSTOP);
                sleepRandomly(100, 2500);
                process.signal(SIGCONT);
                break;
            }
            case 2: {
                auto& process = m_fleet.control(randomUpTo(controls));
                process.signal(SIGSTOP);
                sleepRandomly(100, 3000);
                process.signal(SIGCONT);
                break;
            }
            case 3: {
                int n = randomUpTo(controls);
                m_fleet.control(n).kill();
                sleepRandomly(0, 1000);
                m_fleet.startControl(n, false);
                break;
            }
            case 4: {
                int n = randomUpTo(entries);
                m_fleet.entry(n).kill();
                sleepRandomly(0, 600);
                m_fleet.startEntry(n);
                break;
            }
            case 5: {
                int n = randomUpTo(entries);
                m_fleet.entry(n).signal(SIGTERM);
                if (m_fleet.entry(n).wait() != 0)
                    m_checks.addFailure("an entry did not exit with code 0 after SIGTERM");
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
                constexpr fake_endpoint_mode modes[] = { fake_endpoint_mode::RejectNotExecuted, fake_endpoint_mode::AbortBeforeResponse, fake_endpoint_mode::AbortMidStream, fake_endpoint_mode::OmitSeal, fake_endpoint_mode::ServerError };
                auto& endpoint = *m_endpoints[static_cast<std::size_t>(randomUpTo(5)) - 1];
                endpoint.setMode(modes[randomUpTo(5) - 1]);
                sleepRandomly(200, 1500);
                endpoint.setMode(fake_endpoint_mode::Normal);
                break;
            }
            default: {
                auto address = m_fleet.endpointAddress(randomUpTo(5));
                auto ip = address.substr(0, address.rfind(':'));
                link_rule rule;
                auto kind = randomUpTo(4);
                rule.cut = kind == 1;
                rule.frozen = kind == 2;
                rule.delay = milliseconds(kind == 3 ? 80 : 0);
                if (kind == 4)
                    m_proxy.closeConnections(ip);
                m_proxy.setRule("", ip, rule);
                sleepRandomly(200, 1500);
                m_proxy.setRule("", ip, {});
                break;
            }
            }
            sleepRandomly(50, 500);
        }

        void clearFaults()
        {
            for (int n = 1; n <= 5; ++n) {
                auto address = m_fleet.endpointAddress(n);
                m_proxy.setRule("", address.substr(0, address.rfind(':')), {});
                m_endpoints[static_cast<std::size_t>(n) - 1]->setMode(fake_endpoint_mode::Normal);
            }
        }

        void sendReports()
        {
            std::mt19937_64 random(m_seed + 1);
            while (!m_stopReports) {
                for (auto& endpoint : m_endpoints)
                    m_fleet.sendReport(*endpoint, "ready", static_cast<int>(random() % controls) + 1);
                std::this_thread::sleep_for(reportInterval);
            }
        }

        void changeConfigurations()
        {
            std::mt19937_64 random(m_seed + 2);
            std::uint64_t version = 1;
            bool withSecondKey = true;
            while (!m_stopClients) {
                if (random() % 8 == 0)
                    withSecondKey = !withSecondKey;
                ++version;
                if (withSecondKey)
                    m_checks.recordKeyRestored();
                auto body = makeConfiguration(version, withSecondKey);
                // Sends the same change to random control processes until one acknowledges it.
                for (int tries = 0; tries < 40 && !m_stopClients; ++tries) {
                    auto address = m_fleet.controlAddress(static_cast<int>(random() % controls) + 1);
                    auto response = m_fleet.call(address, "PUT", platform_names::configurationPath, {}, body, milliseconds(1000));
                    if (response.status != 200)
                        continue;
                    m_checks.recordAcknowledged(version);
                    if (!withSecondKey)
                        m_checks.recordKeyWithdrawn(steady::now());
                    break;
                }
                auto before = m_checks.newestAcknowledgedVersion();
                auto read = m_fleet.call(m_fleet.controlAddress(static_cast<int>(random() % controls) + 1), "GET", platform_names::configurationPath, {}, {}, milliseconds(1000));
                if (read.status == 200 && !read.broken)
                    m_checks.checkRead(parseVersion(read.body), before);
                std::this_thread::sleep_for(operatorInterval);
            }
        }

        static std::uint64_t parseVersion(const std::string& body)
        {
            return static_cast<std::uint64_t>(boost::json::parse(body).at("version").as_int64());
        }

        void runClient(int number)
        {
            std::mt19937_64 random(m_seed + 10 + static_cast<std::uint64_t>(number));
            for (int i = 0; !m_stopClients; ++i) {
                sendRandomCall(fmt::format("{}-{}-{}", m_seed, number, i), random);
                std::this_thread::sleep_for(clientInterval);
            }
        }

        void sendRandomCall(const std::string& id, std::mt19937_64& random)
        {
            auto address = m_fleet.entryAddress(static_cast<int>(random() % entries) + 1);
            bool secondKey = random() % 4 == 0;
            http_headers headers { { "Host", "h.example" }, { platform_names::requestId, id }, { platform_names::deadlineMs, "3000" },
                { platform_names::authorization, secondKey ? "Token key-2" : "Token key-1" } };
            auto sentAt = steady::now();
            simple_response response;
            switch (random() % 4) {
            case 0:
                response = m_fleet.call(address, "GET", "/read/x", headers, {}, milliseconds(3000));
                if (response.status == 200 && !response.broken)
                    m_checks.checkResponse(id, response.body);
                break;
            case 1: {
                headers.emplace_back(platform_names::tokenUsage, "500,432");
                const char* path = random() % 2 ? "/report/x" : "/once/x";
                response = m_fleet.call(address, "POST", path, headers, "prompt", milliseconds(3000));
                if (response.status == 200 && !response.broken)
                    m_checks.checkStream(id, response.body, fake_endpoint::eventsPerStream);
                break;
            }
            default:
                response = m_fleet.call(address, "POST", "/book/x", headers, "two kits", milliseconds(3000));
                m_checks.recordBooking(id, response.broken ? 0 : response.status);
                if (response.status == 200 && !response.broken)
                    m_checks.checkResponse(id, response.body);
            }
            if (secondKey && response.status == 200)
                m_checks.checkKeyAccepted(sentAt);
        }

        /// Checks that calls are served after the last fault and that the newest acknowledged change can be read.
        void checkRecovery()
        {
            if (!eventually([&] { return m_fleet.isEntryReady(1) && m_fleet.isEntryReady(2); }, std::chrono::seconds(12)))
                m_checks.addFailure("not every entry was ready again 12 s after the last fault");
            bool served = eventually([&] {
                http_headers headers { { "Host", "h.example" }, { platform_names::requestId, "last" }, { platform_names::authorization, "Token key-1" } };
                return m_fleet.call(m_fleet.entryAddress(1), "GET", "/read/x", headers, {}, milliseconds(2000)).status == 200;
            },
                std::chrono::seconds(12));
            if (!served)
                m_checks.addFailure("nothing was served 12 s after the last fault");
            simple_response read;
            bool isReadable = eventually([&] {
                read = m_fleet.call(m_fleet.controlAddress(1), "GET", platform_names::configurationPath, {}, {}, milliseconds(1000));
                return read.status == 200;
            },
                std::chrono::seconds(12));
            if (!isReadable)
                m_checks.addFailure("the configuration could not be read back at the end");
            else
                m_checks.checkRead(parseVersion(read.body), m_checks.newestAcknowledgedVersion());
        }

        int printResult()
        {
            std::map<std::string, int> runs;
            for (const auto& endpoint : m_endpoints) {
                for (const auto& [id, count] : endpoint->runCounts())
                    runs[id] += count;
            }
            m_checks.checkExecutions(runs);
            std::string line = fmt::format("seed {}:", m_seed);
            for (const auto& [what, count] : m_checks.counts())
                line += fmt::format(" {}: {};", what, count);
            fmt::print("{}\n", line);
            for (const auto& failure : m_checks.failures())
                fmt::print("seed {} BROKEN: {}\n", m_seed, failure);
            return m_checks.failures().empty() ? 0 : 1;
        }

        std::uint64_t m_seed;
        bool m_fullDisks;
        std::mt19937_64 m_random;
        platform_fleet m_fleet;
        fault_proxy m_proxy;
        std::vector<std::unique_ptr<fake_endpoint>> m_endpoints;
        soak_checks m_checks;
        std::atomic<bool> m_stopClients { false };
        std::atomic<bool> m_stopReports { false };
    };
}

} // namespace pistachiolatch::test

int main(int argc, char** argv)
{
    CLI::App app("Runs the platform's programs under random faults and checks their guarantees.", "platform-soak");
    std::uint64_t first = 1;
    int seeds = 1;
    int seconds = 12;
    bool fullDisks = false;
    app.add_option("--seed", first, "the first seed");
    app.add_option("--seeds", seeds, "the number of seeds to run one after the other");
    app.add_option("--seconds", seconds, "the seconds of fault injection for each seed");
    app.add_flag("--full-disks", fullDisks, "fill the disks of control processes at random times");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    int failedSeeds = 0;
    for (int i = 0; i < seeds; ++i)
        failedSeeds += pistachiolatch::test::soak_run(first + static_cast<std::uint64_t>(i), fullDisks).run(std::chrono::seconds(seconds));
    return failedSeeds == 0 ? 0 : 1;
}
