// Guards against requests that an entry takes after it was told to stop, passes on, and cuts off without an answer when it ends.
#include "Platform/scripted_fleet.h"
#include <csignal>
#include <mutex>
#include <optional>
#include <regex>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr milliseconds graceTime { 8000 };

struct late_answer {
    std::string id;
    milliseconds sentAfter { 0 };
    milliseconds answeredAfter { 0 };
    simple_response response;
};

http_headers makeHeaders(const std::string& id, milliseconds deadline)
{
    return { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, id }, { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, std::to_string(deadline.count()) } };
}

/// An entry that is told to stop while callers go on sending requests to endpoints that take their time.
class stopping_fleet {
public:
    platform_fleet platform { 1 };

    explicit stopping_fleet(milliseconds serviceTime)
        : m_app("app-1", platform.endpointAddress(1), "app", "")
        , m_engine("decode-1", platform.endpointAddress(2), "llm", "decode")
    {
        platform.start();
        REQUIRE(platform.submitConfiguration(configuration()) == 200);
        m_app.setDelay(serviceTime);
        m_engine.setDelay(serviceTime / fake_endpoint::eventsPerStream);
        m_reporter.emplace(platform, std::vector<fake_endpoint*> { &m_app, &m_engine });
        REQUIRE(eventually([&] { return platform.isEntryReady(1) && entryLog().find("endpoint=decode-1 ") != std::string::npos && entryLog().find("endpoint=app-1 ") != std::string::npos; }));
    }

    /// Sends a request to each of the paths now and again until the process is gone. Returns the answers once it is.
    std::vector<late_answer> stop(const std::vector<std::string>& paths, milliseconds interval)
    {
        auto stoppedAt = std::chrono::steady_clock::now();
        auto since = [stoppedAt] { return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - stoppedAt); };
        std::mutex mutex;
        std::vector<late_answer> answers;
        std::vector<std::thread> callers;
        platform.entry(1).signal(SIGTERM);
        for (int i = 0; since() < graceTime && platform.entry(1).isRunning(); ++i) {
            for (const auto& path : paths) {
                callers.emplace_back([&, i, path] {
                    late_answer answer { fmt::format("{}-{}", path.substr(1, 4), i), since(), {}, {} };
                    answer.response = platform.call(platform.entryAddress(1), "POST", path, makeHeaders(answer.id, milliseconds(20000)), "the prompt");
                    answer.answeredAfter = since();
                    std::lock_guard lock(mutex);
                    answers.push_back(answer);
                });
            }
            std::this_thread::sleep_for(interval);
        }
        for (auto& caller : callers)
            caller.join();
        return answers;
    }

    bool hasRun(const std::string& id) const { return m_app.runCounts().count(id) > 0 || m_engine.runCounts().count(id) > 0; }
    std::string entryLog() const { return readFile(platform.folder() + "/entry-1.out"); }

private:
    /// The example configuration with a time-out that is longer than the grace.
    static std::string configuration()
    {
        return std::regex_replace(exampleConfiguration(7), std::regex("\"timeoutMs\":[0-9]*"), "\"timeoutMs\":20000");
    }

    fake_endpoint m_app;
    fake_endpoint m_engine;
    std::optional<endpoint_reporter> m_reporter;
};
}

TEST_CASE("Each request that an entry passes on after SIGTERM is answered before its process ends", "[promise]")
{
    auto serviceTime = GENERATE(milliseconds(1500), milliseconds(6500), milliseconds(12000));
    stopping_fleet fleet(serviceTime);
    for (const auto& answer : fleet.stop({ "/read/x", "/book/x" }, milliseconds(200))) {
        INFO(answer.id << " sent after " << answer.sentAfter.count() << " ms, answered after " << answer.answeredAfter.count() << " ms with " << answer.response.status);
        bool isWhole = answer.response.status != 0 && !answer.response.broken;
        if (fleet.hasRun(answer.id)) {
            CHECK(isWhole);
            // The statuses that promise that the request has not run.
            CHECK((answer.response.status != 429 && answer.response.status != 503));
        }
        CHECK(answer.answeredAfter < graceTime);
    }
}

TEST_CASE("A stream that an entry passes on after SIGTERM is whole or refused if its engine is done within the grace", "[promise]")
{
    stopping_fleet fleet(milliseconds(1500));
    for (const auto& answer : fleet.stop({ "/once/x", "/report/x" }, milliseconds(200))) {
        INFO(answer.id << " sent after " << answer.sentAfter.count() << " ms, answered after " << answer.answeredAfter.count() << " ms with " << answer.response.status);
        if (fleet.hasRun(answer.id)) {
            CHECK(answer.response.status == 200);
            CHECK_FALSE(answer.response.broken);
        }
    }
}
