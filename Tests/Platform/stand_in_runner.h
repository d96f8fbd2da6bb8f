#pragma once
#include "http/http.h"
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pistachiolatch::test {

/// What a stand-in does with the calls that reach it.
enum class runner_mode {
    Good,
    /// Says that it has not run the call.
    RefuseUnrun,
    /// Runs the call and breaks the connection before any answer.
    BreakUnanswered,
    /// Breaks off in the middle of a stream, but for one that goes on from elsewhere.
    BreakMidway,
    /// Stands still in the middle of a stream until the mode changes, but for one that goes on from elsewhere.
    StandStill,
    /// Answers without vouching for the answer.
    Unsealed,
    ServerError,
};

/// An endpoint as the users' platform has them: a plain service, or a model engine of one stage.
class stand_in_runner {
public:
    /// Stage: "prefill", "decode" or empty for a plain service.
    stand_in_runner(std::string id, const std::string& address, std::string service, std::string stage);
    ~stand_in_runner();

    /// Names another address in its reports, such as that of a proxy before it.
    void announceAt(const std::string& address) { m_announced = address; }
    void setMode(runner_mode mode) { m_mode = mode; }
    /// How long a plain call, and each event of a stream, takes.
    void setPace(milliseconds pace) { m_pace = pace; }
    /// What it says of itself, as a body.
    std::string report(const std::string& state);
    /// The calls that it ran, one line each, and forgets them.
    std::vector<std::string> takeSeen();
    /// How often each call ran, by its id.
    std::map<std::string, int> runs() const;
    const std::string& id() const { return m_id; }
    const std::string& address() const { return m_address; }
    static constexpr int eventsOfStream = 6;
    /// A request whose body contains this simulates a crash: the stand-in stops accepting connections and aborts this and all
    /// later calls.
    static constexpr std::string_view crashMark = "CRASH-ENDPOINT";
    bool crashed() const { return m_crashed; }
    static constexpr std::uint64_t firstBorn = 1700000000000;
    /// Sets the start time of its run, as stated in its reports.
    void setBorn(std::uint64_t born) { m_born = born; }

private:
    task_of<void> handle(http_exchange& exchange);
    task_of<void> stream(http_exchange& exchange, const http_headers& headers, runner_mode mode);
    void note(const http_exchange& exchange);

    std::string m_id;
    std::string m_address;
    std::string m_announced;
    std::string m_service;
    std::string m_stage;
    std::atomic<runner_mode> m_mode { runner_mode::Good };
    std::atomic<milliseconds> m_pace { milliseconds(5) };
    std::atomic<bool> m_crashed { false };
    std::atomic<std::uint64_t> m_born { firstBorn };
    std::uint64_t m_sequence = 0;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_seen;
    std::map<std::string, int> m_runs;
    traffic_threads m_threads { 1 };
    http_server m_server;
};

} // namespace pistachiolatch::test
