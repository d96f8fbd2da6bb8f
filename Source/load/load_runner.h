#pragma once
#include "http/http.h"
#include "load/load_report.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Where the load goes and with which keys.
struct load_target {
    std::vector<std::string> entries;
    std::map<std::string, std::string> keys;
};

/// Sends a plan's requests in open loop: each at its time, whether earlier ones were answered or not. Checks that
/// each answer is whole and its caller's own. Latencies count from the intended time, so a late sender shows too.
class load_runner {
public:
    load_runner(traffic_plan plan, load_target target);

    /// Runs the plan. Ends early when stop() is called from a signal's thread.
    std::vector<request_outcome> run();
    void stop() { m_stopped = true; }
    bool stopped() const { return m_stopped; }

private:
    /// What has come of one streamed answer.
    struct received_answer {
        std::string text;
        std::string error;
        sse_parser events;
        bool last = false;
        bool ended = false;
    };
    http_request modelCall(const traffic_stream& stream, const std::string& prompt) const;
    /// Reads and takes in the next bytes; false at the end of the answer.
    task_of<bool> readSome(http_client& client, received_answer& answer, request_outcome& outcome);
    void judge(const received_answer& answer, bool connectionWhole, const planned_request& request, request_outcome& outcome) const;
    task_of<void> sendAll(std::vector<planned_request> requests);
    task_of<void> sendModel(planned_request request);
    task_of<void> sendService(planned_request request);
    std::chrono::microseconds sinceStart() const;
    const std::string& nextEntry();
    void keep(request_outcome outcome);

    traffic_plan m_plan;
    load_target m_target;
    boost::asio::io_context m_context { 1 };
    time_point m_start {};
    std::size_t m_turn = 0;
    std::vector<request_outcome> m_outcomes;
    std::atomic<bool> m_stopped { false };
};

} // namespace pistachiolatch
