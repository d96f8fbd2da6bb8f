#pragma once
#include "Platform/platform_fleet.h"
#include "platform_names.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <optional>
#include <regex>
#include <set>
#include <sstream>
#include <thread>

namespace pistachiolatch::test {

constexpr int versionedEntries = 3;
constexpr milliseconds callerDeadline { 5000 };

/// What a caller has of a stream, over all its attempts.
struct caller_stream {
    /// The attempt that brought the first event, and the entry that served it.
    std::string id;
    int entry = 0;
    std::string events;
    unsigned status = 0;
    bool broken = false;

    /// The software versions that wrote the events.
    std::set<std::string> versions() const
    {
        static const std::regex version("event: (.*)\n");
        std::set<std::string> found;
        for (std::sregex_iterator it(events.begin(), events.end(), version), end; it != end; ++it)
            found.insert((*it)[1]);
        return found;
    }

    /// Each event once, in order, to the last.
    bool isWhole() const
    {
        static const std::regex piece("data: piece (.*)\n");
        int next = 0;
        for (std::sregex_iterator it(events.begin(), events.end(), piece), end; it != end; ++it) {
            if ((*it)[1] != std::to_string(next++))
                return false;
        }
        return status == 200 && !broken && next == fake_endpoint::eventsPerStream;
    }

    std::string lastEventId() const
    {
        auto at = events.rfind("id: ");
        return at == std::string::npos ? std::string() : events.substr(at + 4, events.find('\n', at) - at - 4);
    }

    /// Drops what follows the last whole event.
    void dropPartialEvent()
    {
        auto end = events.rfind("\n\n");
        events.erase(end == std::string::npos ? 0 : end + 2);
    }
};

/// Three control processes, three entries and engines whose versions and runs the test chooses.
class versioned_fleet {
public:
    platform_fleet platform { 3, versionedEntries };
    stream_witness witness;

    struct options {
        std::uint64_t tokensPerSecond = 100'000'000;
        /// Whether the sockets of all processes can be cut.
        bool partitionable = false;
    };

    versioned_fleet()
        : versioned_fleet(options {})
    {
    }

    explicit versioned_fleet(const options& options)
    {
        if (options.partitionable) {
            platform.makePartitionable();
            platform.makeControlsPartitionable();
        }
        platform.start();
        REQUIRE(platform.submitConfiguration(exampleConfiguration(7, options.tokensPerSecond)) == 200);
        m_reporter = std::thread([this] { sendReports(); });
        startEngine(1, "v1", "prefill");
    }

    ~versioned_fleet()
    {
        m_stopped = true;
        m_reporter.join();
    }

    /// Starts an engine, or starts it again under the same id with another start time.
    void startEngine(int n, const std::string& version, const std::string& stage = "decode", const std::string& service = "llm")
    {
        std::lock_guard lock(m_mutex);
        m_engines.erase(n);
        auto& engine = m_engines[n];
        engine = std::make_unique<fake_endpoint>(fmt::format("engine-{}", n), platform.endpointAddress(n), service, stage);
        engine->setVersion(version, &witness);
        engine->setStartTime(fake_endpoint::firstStartTime + 1000 * ++m_starts);
        engine->setDelay(m_delay);
    }

    void stopEngine(int n)
    {
        std::lock_guard lock(m_mutex);
        m_engines.erase(n);
    }

    fake_endpoint& engine(int n) { return *m_engines.at(n); }

    /// Sets the duration of each event, also of engines that start later.
    void setDelay(milliseconds delay)
    {
        std::lock_guard lock(m_mutex);
        m_delay = delay;
        for (auto& [n, engine] : m_engines)
            engine->setDelay(delay);
    }

    /// Holds back the engines' reports, or sends them again.
    void holdReports(bool hold) { m_holdReports = hold; }

    /// Has an engine report to one control process only, or to all in turn again if that is 0.
    void reportOnlyTo(int n, int control)
    {
        std::lock_guard lock(m_mutex);
        m_reportedTo[n] = control;
    }

    /// Waits until all entries, or the given ones, know the engines that run.
    void awaitEngines(const std::set<int>& entries = { 1, 2, 3 })
    {
        REQUIRE(eventually([&] {
            return std::all_of(entries.begin(), entries.end(), [&](int entry) { return platform.isEntryReady(entry) && knowsEngines(entry); });
        }));
    }

    /// Begins a stream and leaves it after some events.
    caller_stream beginStream(int entry, int events)
    {
        caller_stream stream;
        stream.id = nextId();
        stream.entry = entry;
        boost::asio::io_context context;
        auto read = [&]() -> task_of<void> {
            http_request call { "POST", "/report/x", makeHeaders(stream.id), "prompt " + stream.id };
            http_client client(context.get_executor());
            auto failed = co_await client.send(platform.entryAddress(entry), call, milliseconds(1000), callerDeadline);
            if (failed == call_failure::None)
                failed = co_await client.readHead(callerDeadline);
            if (failed != call_failure::None)
                co_return;
            stream.status = client.status();
            for (std::string piece; countEvents(stream) < events;) {
                failed = co_await client.readPiece(piece, callerDeadline);
                if (failed != call_failure::None || piece.empty())
                    co_return;
                stream.events += piece;
            }
        };
        boost::asio::co_spawn(context, read, boost::asio::detached);
        context.run();
        stream.broken = true;
        stream.dropPartialEvent();
        return stream;
    }

    /// Sends a whole stream request. Without an interruption it ends complete.
    caller_stream readStream(int entry)
    {
        caller_stream stream;
        stream.id = nextId();
        stream.entry = entry;
        auto answer = platform.call(platform.entryAddress(entry), "POST", "/report/x", makeHeaders(stream.id), "prompt " + stream.id, callerDeadline);
        stream.status = answer.status;
        stream.broken = answer.broken;
        stream.events = answer.status == 200 ? answer.body : "";
        return stream;
    }

    /// Takes a stream up again at an entry. Returns the entry's answer.
    simple_response takeUp(caller_stream& stream, int entry, http_headers extra = {})
    {
        auto headers = makeHeaders(nextId());
        headers.emplace_back(platform_names::lastEventId, stream.lastEventId());
        if (extra.empty())
            extra.emplace_back(platform_names::resumes, stream.id);
        headers.insert(headers.end(), extra.begin(), extra.end());
        auto answer = platform.call(platform.entryAddress(entry), "POST", "/report/x", headers, "prompt " + stream.id, callerDeadline);
        stream.status = answer.status;
        stream.broken = answer.broken;
        if (answer.status == 200)
            stream.events += answer.body;
        stream.dropPartialEvent();
        return answer;
    }

    /// Kills all entries at once and starts them again.
    void restartEntries()
    {
        for (int entry = 1; entry <= versionedEntries; ++entry)
            platform.entry(entry).kill();
        for (int entry = 1; entry <= versionedEntries; ++entry)
            platform.startEntry(entry);
    }

    void awaitReadyEntries()
    {
        REQUIRE(eventually([&] {
            for (int entry = 1; entry <= versionedEntries; ++entry) {
                if (!platform.isEntryReady(entry))
                    return false;
            }
            return true;
        }));
    }

    int otherEntry(int entry) const { return entry % versionedEntries + 1; }

    /// What the entry that served a stream logged of it.
    std::string entryLogLines(const caller_stream& stream) const
    {
        std::istringstream log(entryLog(stream.entry));
        std::string lines;
        for (std::string line; std::getline(log, line);) {
            if (line.find("request=" + stream.id + " ") != std::string::npos)
                lines += line + "\n";
        }
        return lines;
    }

    std::string entryLog(int n) const { return readFile(fmt::format("{}/entry-{}.out", platform.folder(), n)); }

private:
    static int countEvents(const caller_stream& stream)
    {
        int count = 0;
        for (auto at = stream.events.find("\n\n"); at != std::string::npos; at = stream.events.find("\n\n", at + 2))
            ++count;
        return count;
    }

    std::string nextId() { return fmt::format("id-{}", ++m_requests); }

    static http_headers makeHeaders(const std::string& id)
    {
        return { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, id },
            { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, std::to_string(callerDeadline.count()) } };
    }

    bool knowsEngines(int entry)
    {
        std::lock_guard lock(m_mutex);
        auto log = entryLog(entry);
        return std::all_of(m_engines.begin(), m_engines.end(), [&](const auto& item) {
            auto known = fmt::format("event=endpoint_known endpoint={} born={} ", item.second->id(), item.second->startTime());
            return log.find(known) != std::string::npos;
        });
    }

    void sendReports()
    {
        for (int control = 1; !m_stopped; control = control % platform.controls() + 1) {
            std::vector<std::pair<std::string, std::string>> reports;
            {
                std::lock_guard lock(m_mutex);
                for (auto& [n, engine] : m_engines) {
                    if (m_reportedTo[n] == 0 || m_reportedTo[n] == control)
                        reports.emplace_back(engine->id(), engine->makeReport("ready"));
                }
            }
            for (const auto& [id, report] : reports) {
                if (!m_holdReports)
                    platform.call(platform.controlAddress(control), "PUT", platform_names::endpointsPath + id, {}, report, milliseconds(300));
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }

    std::mutex m_mutex;
    std::map<int, std::unique_ptr<fake_endpoint>> m_engines;
    std::map<int, int> m_reportedTo;
    milliseconds m_delay { 5 };
    std::uint64_t m_starts = 0;
    std::atomic<int> m_requests { 0 };
    std::atomic<bool> m_holdReports { false };
    std::atomic<bool> m_stopped { false };
    std::thread m_reporter;
};

/// Checks that no stream has events of two versions, and that no engine was asked to continue one of another version.
inline void checkNotMixed(const versioned_fleet& fleet, const std::vector<caller_stream>& streams)
{
    for (const auto& stream : streams) {
        INFO(stream.id << " has " << stream.events);
        CHECK(stream.versions().size() <= 1);
    }
    CHECK(fleet.witness.violations().empty());
}

} // namespace pistachiolatch::test
