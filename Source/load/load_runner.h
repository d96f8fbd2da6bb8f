#pragma once
#include "http/http.h"
#include "load/load_report.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// The entries to send requests to, and the API key of each organisation.
struct load_target {
    std::vector<std::string> entries;
    std::map<std::string, std::string> keys;
};

/// Sends the requests of a plan in an open loop: each at its scheduled time, whether or not earlier ones have completed.
/// Verifies that each response is complete and belongs to its request. Latencies are measured from the scheduled time,
/// so they include delays of the sender.
class load_runner {
public:
    load_runner(traffic_plan plan, load_target target);

    /// Runs the plan. Returns early after stop(), which another thread may call.
    std::vector<request_outcome> run();
    void stop() { m_stopped = true; }
    bool stopped() const { return m_stopped; }

private:
    /// The part of a streamed response that has been received.
    struct streamed_response {
        std::string text;
        std::string errorBody;
        sse_parser events;
        bool hasFinishReason = false;
        bool hasEndMarker = false;
    };
    http_request makeModelRequest(const traffic_stream& stream, const std::string& prompt) const;
    /// Reads and parses the next chunk; false at the end of the response.
    task_of<bool> readChunk(http_client& client, streamed_response& response, request_outcome& outcome);
    void validateResponse(const streamed_response& response, bool connectionComplete, const planned_request& request, request_outcome& outcome) const;
    task_of<void> sendAll(std::vector<planned_request> requests);
    task_of<void> sendModel(planned_request request);
    task_of<void> sendService(planned_request request);
    std::chrono::microseconds sinceStart() const;
    const std::string& nextEntry();
    void recordOutcome(request_outcome outcome);

    traffic_plan m_plan;
    load_target m_target;
    boost::asio::io_context m_context { 1 };
    time_point m_start {};
    std::size_t m_nextEntryIndex = 0;
    std::vector<request_outcome> m_outcomes;
    std::atomic<bool> m_stopped { false };
};

} // namespace pistachiolatch
