#include "Platform/crowd_callers.h"
#include "Platform/platform_fleet.h"
#include "Platform/request_crowd.h"
#include "Platform/retry_accounting.h"
#include "platform_names.h"
#include "Soak/garbling_endpoint.h"
#include "Soak/kept_connection.h"
#include "Soak/soak_checks.h"
#include <array>
#include <atomic>
#include <boost/json.hpp>
#include <CLI/CLI.hpp>
#include <csignal>
#include <deque>
#include <fmt/format.h>
#include <latch>
#include <random>
#include <set>
#include <thread>

// A randomised soak test: runs the programs as separate processes, injects faults from outside and checks the guarantees
// that callers, operators and endpoints can observe. The seed determines the faults and their times, but the outcome also
// depends on the timing of the machine: a failing seed may need several runs to reproduce.

namespace pistachiolatch::test {

namespace {
    using steady = std::chrono::steady_clock;
    constexpr int controls = 3;
    constexpr int endpointCount = 5;
    /// Decode engines beyond these where engines of two software versions serve.
    constexpr int extraEngines = 2;
    /// Faults that overlap.
    constexpr int concurrentFaults = 2;
    constexpr milliseconds clientInterval { 15 };
    /// 10 Mbit/s.
    constexpr std::size_t narrowLink = 1'250'000;
    /// Of the first attempts that entries read, beside all other faults.
    constexpr double minServedShare = 0.5;
    constexpr milliseconds reportInterval { 400 };
    /// The callers' idle times of configurations, and how long callers reuse a connection: four fifths of the shortest.
    constexpr std::array idleTimes { 2000, 5000, 15000 };
    constexpr milliseconds maxReuseTime { 1600 };
    constexpr milliseconds operatorInterval { 150 };
    constexpr int crowdedMemoryMb = 64;
    constexpr int crowdedDescriptors = 600;
    constexpr std::size_t crowdMembers = 100;

    /// Returns a configuration with or without the second key.
    std::string makeConfiguration(std::uint64_t version, bool withSecondKey)
    {
        auto body = boost::json::parse(exampleConfiguration(version));
        if (withSecondKey)
            body.as_object()["tenants"].as_array()[0].as_object()["apiKeys"].as_array().emplace_back("key-2");
        return boost::json::serialize(body);
    }

    struct soak_options {
        bool fullDisks = false;
        bool partitions = false;
        /// Whether engines have two software versions, are replaced and take streams up again.
        bool versions = false;
        /// Whether a part of prompts crashes engines, which are started again.
        bool crashingParts = false;
        /// Whether most new connections go to one entry after the other, over narrow links.
        bool crowded = false;
        /// Whether the callers that crowd entries choose among all entries evenly instead, for comparison.
        bool even = false;
        /// Whether endpoints ask for rest.
        bool resting = false;
        /// Whether endpoints stand still and go on, beside changes of the configuration's times and faults of control only.
        bool pauses = false;
        /// Whether crowds of misbehaving callers come to entries and control processes with little memory and few descriptors.
        bool misbehaving = false;

        /// Whether endpoints in trouble serve beside the sound ones.
        bool garbled = false;
        /// Whether entries are stopped and told to read their settings as planned, with no other faults, so that all that they pass on has to
        /// be answered.
        bool stops = false;

        bool hasExtraEngines() const { return versions || crashingParts; }
    };

    /// The part of prompts that crashes engines.
    constexpr const char* crashingPart = "dead";

    class soak_run {
    public:
        soak_run(std::uint64_t seed, int entries, soak_options options)
            : m_seed(seed)
            , m_entryCount(entries)
            , m_options(options)
            , m_fleet(controls, entries)
            , m_entryFaults(static_cast<std::size_t>(entries) + 1)
        {
            for (int i = 0; i < (options.hasExtraEngines() ? endpointCount + extraEngines : endpointCount); ++i) {
                // Endpoints report the address of the fault proxy, which forwards to their own.
                m_proxy.forward(m_fleet.endpointAddress(1 + i), m_fleet.endpointAddress(100 + i));
                m_endpoints.emplace_back();
                startEndpoint(i, fmt::format("runner-{}", i), i % 2 == 0 ? "v1" : "v2");
            }
        }

        int run(std::chrono::seconds length)
        {
            if (m_options.garbled)
                startGarblingEndpoints();
            if (m_options.partitions)
                m_fleet.makePartitionable();
            for (int n = 1; m_options.crowded && n <= m_entryCount; ++n)
                m_fleet.narrowLink(n, m_proxy, narrowLink);
            if (m_options.misbehaving) {
                m_fleet.setMemory(crowdedMemoryMb);
                m_fleet.setMaxDescriptors(crowdedDescriptors);
            }
            m_fleet.start();
            if (m_fleet.submitConfiguration(makeConfiguration(1, true)) != 200)
                m_checks.addFailure("the first configuration was not accepted");
            m_checks.recordAcknowledged(1);
            std::vector<std::thread> threads;
            threads.emplace_back([this] { sendReports(); });
            eventually([&] { return allEntriesReady(); });
            threads.emplace_back([this] { changeConfigurations(); });
            for (int i = 0; i < 2 * m_entryCount; ++i)
                threads.emplace_back([this, i] { runClient(i); });
            threads.emplace_back([this] { changeLimits(); });
            if (m_options.resting)
                threads.emplace_back([this] { askForRests(); });
            if (m_options.crowded)
                threads.emplace_back([this] { crowdEntries(); });
            if (m_options.misbehaving)
                threads.emplace_back([this] { sendCrowds(); });
            auto end = steady::now() + length;
            // A full disk and another fault overlap already.
            int injectorCount = m_options.fullDisks ? 1 : concurrentFaults;
            std::latch faultsEnded(injectorCount);
            for (int i = 0; i < injectorCount; ++i) {
                m_injectors.emplace_back([this, i, end, &faultsEnded] {
                    injectFaults(m_seed * concurrentFaults + static_cast<std::uint64_t>(i), end);
                    faultsEnded.count_down();
                    // The processes that a thread has started end with it.
                    m_finished.wait();
                });
            }
            faultsEnded.wait();
            clearFaults();
            m_stopClients = true;
            for (std::size_t i = 1; i < threads.size(); ++i)
                threads[i].join();
            checkRecovery();
            m_stopReports = true;
            threads[0].join();
            m_finished.count_down();
            for (auto& injector : m_injectors)
                injector.join();
            return printResult();
        }

    private:
        using random_engine = std::mt19937_64;
        static int randomUpTo(random_engine& random, int count) { return std::uniform_int_distribution<int>(1, count)(random); }
        static void sleepRandomly(random_engine& random, int minMs, int maxMs) { std::this_thread::sleep_for(milliseconds(std::uniform_int_distribution<int>(minMs, maxMs)(random))); }

        /// Injects faults one after the other, beside those of other threads. A process has one fault at a time.
        void injectFaults(std::uint64_t seed, steady::time_point end)
        {
            random_engine random(seed);
            while (steady::now() < end) {
                if (m_options.stops)
                    stopAsPlanned(random);
                else if (m_options.pauses)
                    pauseEndpoints(random);
                else if (m_options.versions && randomUpTo(random, 3) == 1)
                    replaceEngine(random);
                else if (m_options.fullDisks && randomUpTo(random, 2) == 1)
                    injectFaultWithFullDisk(random);
                else if (m_options.partitions && randomUpTo(random, 2) == 1)
                    injectPartition(random);
                else
                    injectFault(random);
            }
        }

        /// Has all endpoints or some stand still for about a second, at times while a control process is stopped or killed.
        void pauseEndpoints(random_engine& random)
        {
            int count = randomUpTo(random, 2) == 1 ? endpoints() : randomUpTo(random, endpoints());
            auto pauseTime = milliseconds(900 + 100 * randomUpTo(random, 4));
            std::vector<std::shared_ptr<fake_endpoint>> paused;
            for (int i = 0; i < endpoints(); ++i)
                paused.push_back(endpointAt(i));
            std::shuffle(paused.begin(), paused.end(), random);
            for (int i = 0; i < count; ++i)
                paused[static_cast<std::size_t>(i)]->pause(pauseTime);
            if (randomUpTo(random, 4) == 1)
                injectControlFault(random);
            std::this_thread::sleep_for(pauseTime);
            sleepRandomly(random, 1500, 4000);
        }

        /// Stops an entry and starts it again, or has a process read its settings, once or a few times in a row.
        void stopAsPlanned(random_engine& random)
        {
            int n = randomUpTo(random, m_entryCount);
            for (int repeats = randomUpTo(random, 3); repeats > 0; --repeats) {
                switch (randomUpTo(random, 4)) {
                case 1:
                    m_fleet.control(randomUpTo(random, controls)).signal(SIGHUP);
                    break;
                case 2: {
                    std::lock_guard lock(m_entryFaults[static_cast<std::size_t>(n)]);
                    // Before a process has blocked the signal, the kernel would end it.
                    if (m_fleet.entry(n).blocksSignal(SIGHUP))
                        m_fleet.entry(n).signal(SIGHUP);
                    break;
                }
                default:
                    stopEntry(n);
                    eventually([&] { return m_fleet.isEntryReady(n); });
                }
                sleepRandomly(random, 0, 300);
            }
        }

        void stopEntry(int n)
        {
            std::lock_guard lock(m_entryFaults[static_cast<std::size_t>(n)]);
            // Before a process has blocked the signal, the kernel ends it by the signal; it has served nothing then.
            auto from = steady::now();
            bool mayEndBySignal = !m_fleet.entry(n).blocksSignal(SIGTERM);
            m_fleet.entry(n).signal(SIGTERM);
            int status = m_fleet.entry(n).wait();
            if (status != 0 && !(mayEndBySignal && status == -SIGTERM))
                m_checks.addFailure(fmt::format("entry {} did not exit with code 0 after SIGTERM but with {}", n, status));
            m_fleet.startEntry(n);
            recordFault(n, 0, from);
        }

        /// Starts one endpoint in trouble of each service, beside the sound ones.
        void startGarblingEndpoints()
        {
            constexpr int firstNumber = 61;
            constexpr std::array<std::array<const char*, 2>, 2> kinds { { { "app", "" }, { "llm", "decode" } } };
            for (int i = 0; i < static_cast<int>(kinds.size()); ++i) {
                auto kind = kinds[static_cast<std::size_t>(i)];
                m_garbling.push_back(std::make_unique<garbling_endpoint>(fmt::format("garbler-{}", i), m_fleet.endpointAddress(firstNumber + i), m_fleet.endpointAddress(firstNumber + 100 + i), kind[0], kind[1], m_seed + 8 + static_cast<std::uint64_t>(i)));
                m_garbling.back()->setGarbling(true);
            }
        }

        void injectControlFault(random_engine& random)
        {
            int n = randomUpTo(random, controls);
            if (randomUpTo(random, 2) == 1)
                suspendControl(n, random);
            else
                restartControl(n, random);
        }

        void suspendControl(int n, random_engine& random)
        {
            std::lock_guard lock(m_controlFaults[n]);
            m_fleet.control(n).signal(SIGSTOP);
            sleepRandomly(random, 100, 3000);
            m_fleet.control(n).signal(SIGCONT);
        }

        void restartControl(int n, random_engine& random)
        {
            std::lock_guard lock(m_controlFaults[n]);
            m_fleet.control(n).kill();
            sleepRandomly(random, 0, 1000);
            m_fleet.startControl(n, false);
        }

        /// Starts an endpoint; in place of the one before, if there is one.
        void startEndpoint(int i, const std::string& id, const std::string& version)
        {
            const char* services[] = { "app", "app", "llm", "llm" };
            const char* stages[] = { "", "", "prefill", "decode" };
            auto kind = std::min(i, 3);
            std::lock_guard lock(m_endpointsMutex);
            auto& endpoint = m_endpoints[static_cast<std::size_t>(i)];
            // The address is free again once the endpoint before has ended.
            if (endpoint)
                (i < 2 ? m_serviceRetries : m_modelRetries).addArrivals(*endpoint);
            endpoint.reset();
            endpoint = std::make_shared<fake_endpoint>(id, m_fleet.endpointAddress(100 + i), services[kind], stages[kind]);
            endpoint->setReportedAddress(m_fleet.endpointAddress(1 + i));
            if (m_options.crashingParts)
                endpoint->setCrashingParts({ crashingPart });
            if (m_options.hasExtraEngines())
                endpoint->setStartTime(fake_endpoint::firstStartTime + 1000 * ++m_starts);
            if (m_options.pauses)
                endpoint->setDelay(milliseconds(i < 2 ? 5 : 40));
            // Calls are at work whenever their entry is stopped.
            if (m_options.stops)
                endpoint->setDelay(milliseconds(i < 2 ? 200 : 60));
            if (!m_options.versions)
                return;
            endpoint->setVersion(version, &m_witness);
            endpoint->setDelay(milliseconds(15));
        }

        std::shared_ptr<fake_endpoint> endpointAt(int i) const
        {
            std::lock_guard lock(m_endpointsMutex);
            return m_endpoints[static_cast<std::size_t>(i)];
        }

        int endpoints() const { return static_cast<int>(m_endpoints.size()); }

        /// Replaces a decode engine by one of either version, under the same id or another, with or without notice.
        void replaceEngine(random_engine& random)
        {
            int i = 2 + randomUpTo(random, endpoints() - 3);
            std::lock_guard lock(m_endpointFaults[static_cast<std::size_t>(i) + 1]);
            auto engine = endpointAt(i);
            auto id = randomUpTo(random, 2) == 1 ? engine->id() : fmt::format("runner-{}-{}", i, m_starts + 1);
            if (randomUpTo(random, 2) == 1) {
                m_fleet.sendReport(*engine, "draining", randomUpTo(random, controls));
                sleepRandomly(random, 0, 2500);
            }
            engine.reset();
            startEndpoint(i, id, randomUpTo(random, 2) == 1 ? "v1" : "v2");
            sleepRandomly(random, 0, 800);
        }

        /// Cuts some entries, at most all, from all endpoints, and lifts the cut one after the other.
        void injectPartition(random_engine& random)
        {
            constexpr const char* modes[] = { "hang", "reset", "refuse" };
            const auto* mode = modes[randomUpTo(random, 3) - 1];
            int first = randomUpTo(random, m_entryCount);
            int count = randomUpTo(random, m_entryCount);
            auto entryAt = [&](int i) { return (first + i) % m_entryCount + 1; };
            for (int i = 0; i < count; ++i)
                m_fleet.partitionEntry(entryAt(i), mode);
            sleepRandomly(random, 200, 4000);
            for (int i = 0; i < count; ++i) {
                m_fleet.partitionEntry(entryAt(i), "");
                sleepRandomly(random, 0, 200);
            }
        }

        /// Lets an endpoint of the plain service name a limit, change it and take it back, again and again.
        void changeLimits()
        {
            random_engine random(m_seed + 3);
            auto setLimit = [&](double limit, int minMs, int maxMs) {
                m_checks.recordLimit(limit);
                endpointAt(0)->setRequestLimit(limit);
                auto until = steady::now() + milliseconds(std::uniform_int_distribution<int>(minMs, maxMs)(random));
                while (!m_stopClients && steady::now() < until)
                    std::this_thread::sleep_for(milliseconds(20));
            };
            while (!m_stopClients) {
                setLimit(randomUpTo(random, 12), 8000, 12000);
                if (randomUpTo(random, 2) == 1)
                    setLimit(randomUpTo(random, 12), 2000, 8000);
                setLimit(0, 500, 1500);
            }
        }

        /// Lets an endpoint of the plain service and a decode engine refuse all calls and ask for rest, again and again.
        void askForRests()
        {
            random_engine random(m_seed + 5);
            while (!m_stopClients) {
                int n = randomUpTo(random, 2) == 1 ? 2 : endpoints();
                std::lock_guard lock(m_endpointFaults[static_cast<std::size_t>(n)]);
                auto endpoint = endpointAt(n - 1);
                endpoint->setRest(milliseconds(1000 * randomUpTo(random, 3)));
                endpoint->setMode(fake_endpoint_mode::RejectNotExecuted);
                sleepRandomly(random, 300, 2500);
                endpoint->setMode(fake_endpoint_mode::Normal);
                endpoint->setRest(milliseconds(0));
                sleepRandomly(random, 0, 500);
            }
        }

        /// Sends most new connections to one entry, then to another, and checks how many of the first attempts that were read
        /// were served.
        void crowdEntries()
        {
            random_engine random(m_seed + 6);
            auto onSent = [this](bool isModelCall) { (isModelCall ? m_modelRetries : m_serviceRetries).recordSent(steady::now()); };
            auto startedAt = steady::now();
            crowd_callers callers(m_fleet, { .modelCallsPerSecond = 25, .plainCallsPerSecond = 25, .onSent = onSent });
            while (!m_stopClients) {
                int crowded = randomUpTo(random, m_entryCount);
                unsigned crowdedPercent = m_options.even ? 0 : 85;
                callers.setChoice([this, crowded, crowdedPercent](std::mt19937_64& choice) { return choice() % 100 < crowdedPercent ? crowded : 1 + static_cast<int>(choice() % static_cast<unsigned>(m_entryCount)); });
                sleepRandomly(random, 1000, 3000);
            }
            auto outcomes = countFirstReads(callers.finish(), readRequestIds(m_fleet), startedAt, steady::now());
            m_checks.count(outcomes.describe());
            if (outcomes.servedShare() < minServedShare)
                m_checks.addFailure(fmt::format("of the {} first attempts that a crowded entry read, {} were served", outcomes.read, outcomes.served));
        }

        /// Sends crowds of callers that don't read and hold back the end of their requests, to one process after the other, and checks
        /// that the process stays within its memory.
        void sendCrowds()
        {
            random_engine random(m_seed + 7);
            while (!m_stopClients) {
                bool toControl = randomUpTo(random, 4) == 1;
                int n = randomUpTo(random, toControl ? controls : m_entryCount);
                auto address = toControl ? m_fleet.controlAddress(n) : randomUpTo(random, 3) == 1 ? m_fleet.readyAddress(n)
                                                                                                  : m_fleet.entryAddress(n);
                {
                    request_crowd crowd(address, crowdMembers, makeCrowdRequest(random, toControl ? "PUT /-/config" : "POST /book/crowd"));
                    sleepRandomly(random, 500, 2000);
                    checkMemory(toControl ? m_fleet.control(n) : m_fleet.entry(n), toControl ? m_controlFaults[static_cast<std::size_t>(n)] : m_entryFaults[static_cast<std::size_t>(n)], address);
                }
                sleepRandomly(random, 0, 300);
            }
        }

        static repeated_request makeCrowdRequest(random_engine& random, const std::string& line)
        {
            auto head = fmt::format("{} HTTP/1.1\r\nHost: h.example\r\n{}: Token key-1\r\n{}: crowd\r\n{}: 3000\r\n", line, platform_names::authorization, platform_names::requestId, platform_names::deadlineMs);
            constexpr std::size_t bodyBytes = 90000;
            switch (randomUpTo(random, 4)) {
            case 1:
                return { fmt::format("{}Content-Length: {}\r\n\r\n", head, bodyBytes), "x", bodyBytes - 1, "" };
            case 2:
                return { head + "Transfer-Encoding: chunked\r\n\r\n", "64\r\n" + std::string(100, 'x') + "\r\n", bodyBytes / 100, "" };
            case 3:
                return { head + "Content-Length: 10\r\n", "a:\r\n", 3800, "\r\nshort" };
            default:
                return { head, "X-More: y\r\n", 500, "" };
            }
        }

        void checkMemory(child_process& process, std::recursive_mutex& faults, const std::string& address)
        {
            // A process that a fault has stopped or killed isn't looked at.
            std::unique_lock lock(faults, std::try_to_lock);
            if (!lock)
                return;
            m_checks.count("crowds checked");
            if (!process.isRunning())
                m_checks.addFailure(fmt::format("the process at {} ended beside a crowd", address));
            else if (auto bytes = process.residentBytes(); bytes > crowdedMemoryMb * 1024UL * 1024)
                m_checks.addFailure(fmt::format("the process at {} used {} MB beside a crowd", address, bytes >> 20));
        }

        /// Checks that no entry sent an endpoint more than two requests within a rest that it was asked for, but for rests during
        /// which the entry or the way to the endpoint had a fault.
        void checkRests(const fake_endpoint& endpoint, int number)
        {
            constexpr int arrivalsAllowed = 2;
            auto arrivals = endpoint.arrivalRecords();
            auto entryOf = [](const std::string& id) { return id.find("-e") == std::string::npos ? 0 : std::atoi(id.c_str() + id.rfind("-e") + 2); };
            int rests = 0;
            for (const auto& refusal : arrivals) {
                auto entry = entryOf(refusal.requestId);
                if (refusal.rest.count() == 0 || entry == 0 || hadFault(entry, number, refusal.at, refusal.at + refusal.rest))
                    continue;
                ++rests;
                auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& arrival) {
                    return entryOf(arrival.requestId) == entry && arrival.at > refusal.at + milliseconds(500) && arrival.at < refusal.at + refusal.rest;
                });
                if (count > arrivalsAllowed)
                    m_checks.addFailure(fmt::format("{} sent {} requests to {} within {} ms of rest", entry, count, endpoint.id(), refusal.rest.count()));
            }
            m_checks.count(fmt::format("rests checked of {} {}", endpoint.id(), rests));
        }

        struct fault_span {
            int entry = 0;
            int endpoint = 0;
            steady::time_point from;
            steady::time_point until;
        };

        /// Records a fault of an entry, or of the way to an endpoint, from a time until now.
        void recordFault(int entry, int endpoint, steady::time_point from)
        {
            std::lock_guard lock(m_faultsMutex);
            m_faults.push_back({ entry, endpoint, from, steady::now() });
        }

        bool hadFault(int entry, int endpoint, steady::time_point from, steady::time_point until) const
        {
            std::lock_guard lock(m_faultsMutex);
            return std::any_of(m_faults.begin(), m_faults.end(), [&](const auto& fault) { return (fault.entry == entry || fault.endpoint == endpoint) && fault.from < until && fault.until > from; });
        }

        /// Injects a fault while the disk of one control process is full. A control process that the fault restarts can write.
        void injectFaultWithFullDisk(random_engine& random)
        {
            int victim = randomUpTo(random, controls);
            std::lock_guard lock(m_controlFaults[victim]);
            m_fleet.control(victim).refuseWrites(true);
            sleepRandomly(random, 0, 400);
            injectFault(random);
            sleepRandomly(random, 0, 2500);
            if (!m_fleet.control(victim).isRunning())
                m_checks.addFailure("a control process exited while its disk was full");
            m_fleet.control(victim).refuseWrites(false);
        }

        void injectFault(random_engine& random)
        {
            switch (randomUpTo(random, 8)) {
            case 1: {
                int n = randomUpTo(random, m_entryCount);
                std::lock_guard lock(m_entryFaults[n]);
                auto& process = m_fleet.entry(n);
                auto from = steady::now();
                process.signal(SIGSTOP);
                sleepRandomly(random, 100, 2500);
                process.signal(SIGCONT);
                recordFault(n, 0, from);
                break;
            }
            case 2:
                suspendControl(randomUpTo(random, controls), random);
                break;
            case 3:
                restartControl(randomUpTo(random, controls), random);
                break;
            case 4: {
                int n = randomUpTo(random, m_entryCount);
                std::lock_guard lock(m_entryFaults[n]);
                auto from = steady::now();
                m_fleet.entry(n).kill();
                sleepRandomly(random, 0, 600);
                m_fleet.startEntry(n);
                recordFault(n, 0, from);
                break;
            }
            case 5:
                stopEntry(randomUpTo(random, m_entryCount));
                break;
            case 6: {
                std::scoped_lock lock(m_controlFaults[1], m_controlFaults[2], m_controlFaults[3]);
                for (int n = 1; n <= controls; ++n)
                    m_fleet.control(n).kill();
                for (int n = 1; n <= controls; ++n)
                    m_fleet.startControl(n, false);
                break;
            }
            case 7: {
                constexpr fake_endpoint_mode modes[] = { fake_endpoint_mode::RejectNotExecuted, fake_endpoint_mode::AbortBeforeResponse, fake_endpoint_mode::AbortMidStream, fake_endpoint_mode::OmitSeal, fake_endpoint_mode::ServerError };
                auto n = randomUpTo(random, endpoints());
                std::lock_guard lock(m_endpointFaults[static_cast<std::size_t>(n)]);
                auto endpoint = endpointAt(n - 1);
                endpoint->setMode(modes[randomUpTo(random, 5) - 1]);
                sleepRandomly(random, 200, 1500);
                endpoint->setMode(fake_endpoint_mode::Normal);
                break;
            }
            default: {
                int n = randomUpTo(random, endpoints());
                std::lock_guard lock(m_endpointFaults[static_cast<std::size_t>(n)]);
                auto address = m_fleet.endpointAddress(n);
                auto ip = address.substr(0, address.rfind(':'));
                link_rule rule;
                auto kind = randomUpTo(random, 4);
                auto from = steady::now();
                rule.cut = kind == 1;
                rule.frozen = kind == 2;
                rule.delay = milliseconds(kind == 3 ? 80 : 0);
                if (kind == 4)
                    m_proxy.closeConnections(ip);
                m_proxy.setRule("", ip, rule);
                sleepRandomly(random, 200, 1500);
                m_proxy.setRule("", ip, {});
                recordFault(0, n, from);
                break;
            }
            }
            sleepRandomly(random, 50, 500);
        }

        void clearFaults()
        {
            for (int n = 1; n <= m_entryCount; ++n)
                m_fleet.partitionEntry(n, "");
            for (int n = 1; n <= endpoints(); ++n) {
                auto address = m_fleet.endpointAddress(n);
                m_proxy.setRule("", address.substr(0, address.rfind(':')), {});
                endpointAt(n - 1)->setMode(fake_endpoint_mode::Normal);
            }
            for (const auto& endpoint : m_garbling)
                endpoint->setGarbling(false);
        }

        void sendReports()
        {
            std::mt19937_64 random(m_seed + 1);
            while (!m_stopReports) {
                for (int i = 0; i < endpoints(); ++i) {
                    if (endpointAt(i)->crashed())
                        restartCrashed(i);
                    else
                        sendReadyReport(i, static_cast<int>(random() % controls) + 1);
                }
                for (const auto& endpoint : m_garbling)
                    m_fleet.sendReport(endpoint->reporter(), "ready", static_cast<int>(random() % controls) + 1);
                std::this_thread::sleep_for(reportInterval);
            }
        }

        /// Starts an engine again under another id, some reports after it crashed.
        void restartCrashed(int i)
        {
            if (steady::now() - endpointAt(i)->crashedAt() < 3 * reportInterval)
                return;
            ++m_crashes;
            startEndpoint(i, fmt::format("runner-{}-{}", i, m_starts + 1), "v1");
        }

        /// Sends an endpoint's report without holding on to the endpoint, which may be replaced meanwhile.
        void sendReadyReport(int i, int control)
        {
            std::string id;
            std::string report;
            {
                std::lock_guard lock(m_endpointsMutex);
                id = m_endpoints[static_cast<std::size_t>(i)]->id();
                report = m_endpoints[static_cast<std::size_t>(i)]->makeReport("ready");
            }
            m_fleet.call(m_fleet.controlAddress(control), "PUT", platform_names::endpointsPath + id, { { "Content-Type", "application/json" } }, report, milliseconds(2000));
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
                auto body = m_options.pauses ? withOtherTimes(makeConfiguration(version, withSecondKey), random) : makeConfiguration(version, withSecondKey);
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

        /// Changes the callers' idle time and the timeouts of all routes.
        static std::string withOtherTimes(const std::string& configuration, std::mt19937_64& random)
        {
            constexpr std::array timeouts { 3500, 6000, 9000 };
            auto body = boost::json::parse(configuration);
            body.at("limits").as_object()["idleTimeoutMs"] = idleTimes[random() % idleTimes.size()];
            for (auto& route : body.at("routes").as_array())
                route.as_object()["timeoutMs"] = timeouts[random() % timeouts.size()];
            return boost::json::serialize(body);
        }

        static std::uint64_t parseVersion(const std::string& body)
        {
            return static_cast<std::uint64_t>(boost::json::parse(body).at("version").as_int64());
        }

        void runClient(int number)
        {
            random_engine random(m_seed + 10 + static_cast<std::uint64_t>(number));
            std::vector<std::unique_ptr<kept_connection>> connections;
            for (int n = 1; n <= m_entryCount; ++n)
                connections.push_back(std::make_unique<kept_connection>(m_fleet.callerAddress(n)));
            for (int i = 0; !m_stopClients; ++i) {
                if (m_options.versions && random() % 3 == 0)
                    readStreamInParts(fmt::format("{}-{}-{}", m_seed, number, i), random);
                if (m_options.crashingParts && random() % 12 == 0)
                    sendCrashingCall(fmt::format("{}-{}-{}-crash", m_seed, number, i), *connections[random() % connections.size()]);
                auto entry = random() % connections.size();
                if (m_options.pauses)
                    connections[entry]->closeIfIdle(maxReuseTime);
                sendRandomCall(fmt::format("{}-{}-{}-e{}", m_seed, number, i, entry + 1), *connections[entry], random);
                std::this_thread::sleep_for(clientInterval);
            }
        }

        /// Reads a stream, leaves it after a random time, and takes it up again at random entries until it is whole. Returns
        /// whether it is.
        bool readStreamInParts(const std::string& id, random_engine& random)
        {
            std::string body;
            std::string lastEventId;
            std::string firstAttempt;
            for (int attempt = 0; attempt < 4; ++attempt) {
                auto attemptId = fmt::format("{}-part-{}", id, attempt);
                http_headers headers { { "Host", "h.example" }, { platform_names::requestId, attemptId }, { platform_names::deadlineMs, "3000" },
                    { platform_names::authorization, "Token key-1" }, { platform_names::tokenUsage, "500,432" } };
                if (!lastEventId.empty()) {
                    headers.emplace_back(platform_names::lastEventId, lastEventId);
                    headers.emplace_back(platform_names::resumes, firstAttempt);
                }
                kept_connection connection(m_fleet.entryAddress(randomUpTo(random, m_entryCount)));
                auto patience = milliseconds(attempt < 2 ? std::uniform_int_distribution<int>(30, 120)(random) : 3000);
                auto response = connection.call("POST", "/report/x", headers, "prompt " + id, patience);
                m_modelRetries.recordSent(steady::now());
                m_checks.count(fmt::format("{} {}", lastEventId.empty() ? "begun" : "taken up", response.broken && response.status == 200 ? "cut" : std::to_string(response.status)));
                if (response.status == 200) {
                    body += response.body;
                    body.erase(body.rfind("\n\n") == std::string::npos ? 0 : body.rfind("\n\n") + 2);
                }
                bool isComplete = response.status == 200 && !response.broken;
                auto last = m_checks.checkAttempts(id, body, fake_endpoint::eventsPerStream, isComplete);
                if (isComplete)
                    return true;
                if (lastEventId.empty() && !last.empty())
                    firstAttempt = attemptId;
                lastEventId = last;
                sleepRandomly(random, 0, 60);
            }
            return false;
        }

        /// Sends a stream whose prompt has the part that crashes engines. Returns its status.
        unsigned sendCrashingCall(const std::string& id, kept_connection& connection)
        {
            http_headers headers { { "Host", "h.example" }, { platform_names::requestId, id }, { platform_names::deadlineMs, "3000" }, { platform_names::authorization, "Token key-1" },
                { platform_names::tokenUsage, "500,432" }, { platform_names::promptParts, fmt::format("a1:200,{}:100,1:10", crashingPart) } };
            m_modelRetries.recordSent(steady::now());
            return connection.call("POST", "/report/x", headers, "prompt " + id, milliseconds(3000)).status;
        }

        void sendRandomCall(const std::string& id, kept_connection& connection, random_engine& random)
        {
            bool secondKey = random() % 4 == 0;
            http_headers headers { { "Host", "h.example" }, { platform_names::requestId, id }, { platform_names::deadlineMs, "3000" },
                { platform_names::authorization, secondKey ? "Token key-2" : "Token key-1" } };
            auto sentAt = steady::now();
            simple_response response;
            switch (random() % 4) {
            case 0:
                m_serviceRetries.recordSent(sentAt);
                response = connection.call("GET", "/read/x", headers, {}, milliseconds(3000));
                if (response.status == 200 && !response.broken)
                    m_checks.checkResponse(id, response.body);
                break;
            case 1: {
                headers.emplace_back(platform_names::tokenUsage, "500,432");
                if (m_options.crashingParts)
                    headers.emplace_back(platform_names::promptParts, fmt::format("a1:200,b{}:100,1:10", random() % 4));
                m_modelRetries.recordSent(sentAt);
                const char* path = random() % 2 ? "/report/x" : "/once/x";
                response = connection.call("POST", path, headers, m_options.crashingParts ? "prompt " + id : "prompt", milliseconds(3000));
                if (m_options.versions && response.status == 200)
                    m_checks.checkAttempts(id, response.body, fake_endpoint::eventsPerStream, !response.broken);
                else if (response.status == 200 && !response.broken)
                    m_checks.checkStream(id, response.body, fake_endpoint::eventsPerStream);
                if (m_options.crashingParts && response.status == 422)
                    m_checks.addFailure(fmt::format("{} was refused for a part that crashes no engine", id));
                break;
            }
            default:
                m_serviceRetries.recordSent(sentAt);
                response = connection.call("POST", "/book/x", headers, "two kits", milliseconds(3000));
                m_checks.recordBooking(id, response.broken ? 0 : response.status);
                if (response.status == 200 && !response.broken)
                    m_checks.checkResponse(id, response.body);
            }
            // A call that was ended close to its deadline may have had no time left.
            constexpr milliseconds timeToAnswer { 2100 };
            if (m_options.pauses && response.broken && steady::now() - sentAt < timeToAnswer)
                m_checks.addFailure(fmt::format("{} ended without a whole answer after {} ms, status {}", id, std::chrono::duration_cast<milliseconds>(steady::now() - sentAt).count(), response.status));
            if (m_options.stops && response.broken) {
                std::lock_guard lock(m_unansweredMutex);
                m_unanswered.insert(id);
            }
            if (m_options.pauses || m_options.stops)
                m_checks.count(response.broken ? "cut" : fmt::format("answered {}", response.status));
            if (secondKey && response.status == 200)
                m_checks.checkKeyAccepted(sentAt);
        }

        bool allEntriesReady() const
        {
            for (int n = 1; n <= m_entryCount; ++n) {
                if (!m_fleet.isEntryReady(n))
                    return false;
            }
            return true;
        }

        /// Checks that calls are served after the last fault and that the newest acknowledged change can be read.
        void checkRecovery()
        {
            if (!eventually([&] { return allEntriesReady(); }, std::chrono::seconds(12)))
                m_checks.addFailure("not every entry was ready again 12 s after the last fault");
            bool served = eventually([&] {
                http_headers headers { { "Host", "h.example" }, { platform_names::requestId, "last" }, { platform_names::authorization, "Token key-1" } };
                return m_fleet.call(m_fleet.entryAddress(1), "GET", "/read/x", headers, {}, milliseconds(2000)).status == 200;
            },
                std::chrono::seconds(12));
            if (!served)
                m_checks.addFailure("nothing was served 12 s after the last fault");
            random_engine random(m_seed + 4);
            int streams = 0;
            if (m_options.versions && !eventually([&] { return readStreamInParts(fmt::format("last-{}", ++streams), random); }, std::chrono::seconds(12)))
                m_checks.addFailure("no stream went on 12 s after the last fault");
            if (m_options.crashingParts)
                checkPartIsStopped();
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

        /// Checks that requests with the part that crashes engines reach none any more.
        void checkPartIsStopped()
        {
            constexpr int callsAllowed = 3;
            constexpr int crashesAllowed = 5;
            std::this_thread::sleep_for(std::chrono::seconds(3));
            auto crashesBefore = m_crashes.load();
            int reached = 0;
            for (int i = 0; i < 4 * m_entryCount; ++i) {
                kept_connection connection(m_fleet.entryAddress(1 + i % m_entryCount));
                auto status = sendCrashingCall(fmt::format("{}-last-{}-crash", m_seed, i), connection);
                m_checks.count(fmt::format("last calls with the part {}", status));
                reached += status != 422 && status != 503 ? 1 : 0;
            }
            m_checks.count(fmt::format("crashes {}", crashesBefore));
            if (reached > callsAllowed && crashesBefore >= crashesAllowed)
                m_checks.addFailure(fmt::format("{} requests with a part that had crashed {} engines reached engines after the last fault", reached, crashesBefore));
        }

        void checkRetryBudget(const char* service, retry_accounting& retries, int first, int end)
        {
            for (int i = first; i < end; ++i)
                retries.addArrivals(*endpointAt(i));
            auto worst = retries.worstWindow({});
            m_checks.count(fmt::format("retries of {} {} of {:.0f}", service, worst.retries, worst.allowed));
            if (worst.retries > worst.allowed)
                m_checks.addFailure(fmt::format("{} retries of {} within a window, {:.1f} are allowed", worst.retries, service, worst.allowed));
        }

        int printResult()
        {
            for (int n = 1; m_options.resting && n <= endpoints(); ++n)
                checkRests(*endpointAt(n - 1), n);
            checkRetryBudget("app", m_serviceRetries, 0, 2);
            checkRetryBudget("llm", m_modelRetries, 2, endpoints());
            std::map<std::string, int> runs;
            for (const auto& stream : m_witness.violations())
                m_checks.addFailure("an engine was asked to continue " + stream);
            for (const auto& endpoint : m_endpoints) {
                for (const auto& [id, count] : endpoint->runCounts())
                    runs[id] += count;
            }
            for (const auto& endpoint : m_garbling) {
                for (const auto& [id, count] : endpoint->runCounts())
                    runs[id] += count;
            }
            m_checks.checkExecutions(runs);
            for (const auto& id : m_unanswered) {
                if (runs.count(id) > 0)
                    m_checks.addFailure(fmt::format("{} ran beside planned work and got no whole answer", id));
            }
            m_checks.checkLimits(endpointAt(0)->arrivals());
            std::string line = fmt::format("seed {}:", m_seed);
            for (const auto& [what, count] : m_checks.counts())
                line += fmt::format(" {}: {};", what, count);
            fmt::print("{}\n", line);
            for (const auto& failure : m_checks.failures())
                fmt::print("seed {} BROKEN: {}\n", m_seed, failure);
            return m_checks.failures().empty() ? 0 : 1;
        }

        std::uint64_t m_seed;
        int m_entryCount;
        soak_options m_options;
        platform_fleet m_fleet;
        /// Held while a fault lasts. A thread that fills a disk injects another fault meanwhile, possibly in the same process.
        std::deque<std::recursive_mutex> m_entryFaults;
        std::array<std::recursive_mutex, controls + 1> m_controlFaults;
        std::array<std::recursive_mutex, endpointCount + extraEngines + 1> m_endpointFaults;
        fault_proxy m_proxy;
        stream_witness m_witness;
        mutable std::mutex m_endpointsMutex;
        std::vector<std::shared_ptr<fake_endpoint>> m_endpoints;
        std::vector<std::unique_ptr<garbling_endpoint>> m_garbling;
        std::mutex m_unansweredMutex;
        /// Calls whose callers got no whole answer.
        std::set<std::string> m_unanswered;
        std::atomic<std::uint64_t> m_starts { 0 };
        soak_checks m_checks;
        retry_accounting m_serviceRetries;
        retry_accounting m_modelRetries;
        std::atomic<int> m_crashes { 0 };
        mutable std::mutex m_faultsMutex;
        std::vector<fault_span> m_faults;
        std::atomic<bool> m_stopClients { false };
        std::atomic<bool> m_stopReports { false };
        std::vector<std::thread> m_injectors;
        std::latch m_finished { 1 };
    };
}

} // namespace pistachiolatch::test

int main(int argc, char** argv)
{
    CLI::App app("Runs the platform's programs under random faults and checks their guarantees.", "platform-soak");
    std::uint64_t first = 1;
    int seeds = 1;
    int entries = 2;
    int seconds = 12;
    pistachiolatch::test::soak_options options;
    app.add_option("--seed", first, "the first seed");
    app.add_option("--seeds", seeds, "the number of seeds to run one after the other");
    app.add_option("--seconds", seconds, "the seconds of fault injection for each seed");
    app.add_option("--entries", entries, "the number of entries, each with two callers")->check(CLI::Range(1, 60));
    app.add_flag("--full-disks", options.fullDisks, "fill the disks of control processes at random times");
    app.add_flag("--partitions", options.partitions, "cut entries from all endpoints at random times");
    app.add_flag("--versions", options.versions, "replace engines by others of two software versions, and take streams up again at random entries");
    app.add_flag("--crashing-parts", options.crashingParts, "send prompts with a part that crashes engines");
    auto* crowdedFlag = app.add_flag("--crowded", options.crowded, "send most new connections to one entry after the other, over narrow links");
    app.add_flag("--even", options.even, "with --crowded, let the same callers choose among all entries evenly, to compare with")->needs(crowdedFlag);
    app.add_flag("--resting", options.resting, "let endpoints ask for rest");
    app.add_flag("--pauses", options.pauses, "let endpoints stand still for about a second beside changes of the configuration, with no other faults of endpoints and entries");
    app.add_flag("--misbehaving", options.misbehaving, "send crowds of callers that never complete their requests to processes with little memory");
    app.add_flag("--garbled", options.garbled, "let endpoints in trouble serve beside the sound ones");
    app.add_flag("--stops", options.stops, "stop entries and have processes read their settings as planned, in series, with no other faults of processes");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    int failedSeeds = 0;
    for (int i = 0; i < seeds; ++i)
        failedSeeds += pistachiolatch::test::soak_run(first + static_cast<std::uint64_t>(i), entries, options).run(std::chrono::seconds(seconds));
    return failedSeeds == 0 ? 0 : 1;
}
