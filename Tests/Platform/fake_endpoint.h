#pragma once
#include "http/http.h"
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pistachiolatch::test {

/// What a stand-in does with the calls that reach it.
enum class fake_endpoint_mode {
    Normal,
    /// Says that it has not run the call.
    RejectNotExecuted,
    /// Runs the call and breaks the connection before any answer.
    AbortBeforeResponse,
    /// Breaks off in the middle of a stream, but for one that goes on from elsewhere.
    AbortMidStream,
    /// Stands still in the middle of a stream until the mode changes, but for one that goes on from elsewhere.
    StallMidStream,
    /// Answers without vouching for the answer.
    OmitSeal,
    ServerError,
};

/// An endpoint as the users' platform has them: a plain service, or a model engine of one stage.
class fake_endpoint {
public:
    /// Stage: "prefill", "decode" or empty for a plain service.
    fake_endpoint(std::string id, const std::string& address, std::string service, std::string stage);
    ~fake_endpoint();

    /// Names another address in its reports, such as that of a proxy before it.
    void setReportedAddress(const std::string& address) { m_announced = address; }
    void setMode(fake_endpoint_mode mode) { m_mode = mode; }
    /// How long a plain call, and each event of a stream, takes.
    void setPace(milliseconds pace) { m_pace = pace; }
    /// What it says of itself, as a body.
    std::string report(const std::string& state);
    /// The calls that it ran, one line each, and forgets them.
    std::vector<std::string> takeSeen();
    /// How often each call ran, by its id.
    std::map<std::string, int> runCounts() const;
    const std::string& id() const { return m_id; }
    const std::string& address() const { return m_address; }
    static constexpr int eventsPerStream = 6;
    /// A request whose body contains this simulates a crash: the stand-in stops accepting connections and aborts this and all
    /// later calls.
    static constexpr std::string_view crashMark = "CRASH-ENDPOINT";
    bool crashed() const { return m_crashed; }
    static constexpr std::uint64_t firstBorn = 1700000000000;
    /// Sets the start time of its run, as stated in its reports.
    void setBorn(std::uint64_t born) { m_born = born; }

private:
    task_of<void> handle(http_exchange& exchange);
    task_of<void> stream(http_exchange& exchange, const http_headers& headers, fake_endpoint_mode mode);
    void note(const http_exchange& exchange);

    std::string m_id;
    std::string m_address;
    std::string m_announced;
    std::string m_service;
    std::string m_stage;
    std::atomic<fake_endpoint_mode> m_mode { fake_endpoint_mode::Normal };
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
