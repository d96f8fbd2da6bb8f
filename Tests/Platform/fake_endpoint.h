#pragma once
#include "http/http.h"
#include "Platform/stream_witness.h"
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch::test {

/// How a fake endpoint handles requests.
enum class fake_endpoint_mode {
    Normal,
    /// Responds that it has not executed the request.
    RejectNotExecuted,
    /// Executes the request and aborts the connection without a response.
    AbortBeforeResponse,
    /// Aborts the connection in the middle of a stream, unless the request resumes a stream.
    AbortMidStream,
    /// Stalls in the middle of a stream until the mode changes, unless the request resumes a stream.
    StallMidStream,
    /// Stalls between the response head and the first event until the mode changes.
    StallBeforeFirstEvent,
    /// Responds without the seal header.
    OmitSeal,
    ServerError,
};

/// A request that reached an endpoint, status requests left out.
struct endpoint_arrival {
    time_point at;
    std::string requestId;
    /// Whether the endpoint accepted a request to process the prompt only.
    bool isAcceptedPrefill = false;
    /// The rest that it asked for in its refusal; zero if it did not.
    milliseconds rest { 0 };
};

/// Simulates an endpoint of the users' platform: a plain service, or a model engine of one stage.
class fake_endpoint {
public:
    /// The stage is "prefill", "decode", or empty for a plain service.
    fake_endpoint(std::string id, const std::string& address, std::string service, std::string stage);
    ~fake_endpoint();

    /// Sets the address stated in its reports, such as that of a proxy in front of it.
    void setReportedAddress(const std::string& address) { m_reportedAddress = address; }
    void setMode(fake_endpoint_mode mode) { m_mode = mode; }
    /// Has an endpoint of a plain service answer with streams. Precondition: called before the endpoint gets requests.
    void setStreaming() { m_streams = true; }
    /// Sets the data centre stated in its reports.
    void setDataCentre(const std::string& dataCentre) { m_dataCentre = dataCentre; }
    /// Sets the software version stated in its reports. Its events name it from now on, and the witness, if any, learns what it
    /// begins and continues. Precondition: called before the endpoint gets requests; the witness outlives the endpoint.
    void setVersion(const std::string& version, stream_witness* witness);
    /// Sets how long its next reports say that it stays cold.
    void setColdTime(milliseconds remaining) { m_coldTime = remaining; }
    /// Sets the duration of a plain request and of each stream event.
    void setDelay(milliseconds delay) { m_delay = delay; }
    /// Stops it from answering for a time, like a process that is stopped: connections are accepted, and data is received.
    void pause(milliseconds time);
    /// Sets the requests per second that its responses state as its limit; 0 states none.
    void setRequestLimit(double perSecond) { m_requestLimit = perSecond; }
    /// Sets the rest that its refusals ask for from now on, rounded down to seconds; zero asks for none.
    void setRest(milliseconds rest) { m_rest = rest; }
    /// When its requests arrived, in order, those of the prefill stage included.
    std::vector<time_point> arrivals() const;
    /// All requests that reached it, in order, those that it refused or left unanswered included.
    std::vector<endpoint_arrival> arrivalRecords() const;
    /// The body of its next status report.
    std::string makeReport(const std::string& state);
    /// Returns the executed requests, one line each, and clears the log.
    std::vector<std::string> takeRequestLog();
    /// IDs of the requests whose streams were sent to their end.
    std::set<std::string> completedStreams() const;
    /// The number of executions by request ID.
    std::map<std::string, int> runCounts() const;
    const std::string& id() const { return m_id; }
    const std::string& address() const { return m_address; }
    static constexpr int eventsPerStream = 6;
    /// A request whose body contains this simulates a crash: the endpoint stops accepting connections and aborts this and all
    /// later requests.
    static constexpr std::string_view crashMarker = "CRASH-ENDPOINT";
    bool crashed() const { return m_crashed; }
    /// When it crashed. Precondition: crashed().
    time_point crashedAt() const { return m_crashedAt; }
    /// Simulates a crash, which also cuts the streams that it is writing.
    void crash();
    /// Sets the parts of prompts, as lower-case hexadecimal numbers, on which it crashes as it begins to write an answer.
    /// Precondition: called before the endpoint gets requests.
    void setCrashingParts(std::set<std::string> parts) { m_crashingParts = std::move(parts); }
    /// The part because of which it crashed; empty if it did not.
    std::string crashCause() const;
    static constexpr std::uint64_t firstStartTime = 1700000000000;
    /// Sets the start time stated in its reports.
    void setStartTime(std::uint64_t startTime) { m_startTime = startTime; }
    std::uint64_t startTime() const { return m_startTime; }

private:
    task_of<void> handle(http_exchange& exchange);
    /// The first part of a request's prompt on which it crashes; empty if there is none.
    std::string findCrashingPart(const http_exchange& exchange) const;
    task_of<void> sendStream(http_exchange& exchange, const http_headers& headers, fake_endpoint_mode mode);
    std::string makeEvent(std::uint64_t number) const;
    void recordRequest(const http_exchange& exchange);

    std::string m_id;
    std::string m_address;
    std::string m_reportedAddress;
    std::string m_service;
    std::string m_stage;
    bool m_streams = false;
    std::string m_dataCentre = "a";
    std::string m_version = "v1";
    bool m_namesVersion = false;
    stream_witness* m_witness = nullptr;
    std::atomic<milliseconds> m_coldTime { milliseconds(0) };
    std::atomic<fake_endpoint_mode> m_mode { fake_endpoint_mode::Normal };
    std::atomic<milliseconds> m_delay { milliseconds(5) };
    std::atomic<bool> m_crashed { false };
    std::atomic<time_point> m_crashedAt { time_point {} };
    std::string m_crashCause;
    std::set<std::string> m_crashingParts;
    std::atomic<double> m_requestLimit { 0 };
    std::atomic<milliseconds> m_rest { milliseconds(0) };
    std::atomic<std::uint64_t> m_startTime { firstStartTime };
    std::uint64_t m_sequence = 0;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requestLog;
    std::map<std::string, int> m_runCounts;
    std::set<std::string> m_completedStreams;
    std::vector<endpoint_arrival> m_arrivals;
    traffic_threads m_threads { 1 };
    http_server m_server;
};

} // namespace pistachiolatch::test
