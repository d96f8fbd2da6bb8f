#pragma once
#include "load/traffic_plan.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// The result of one request. Times are counted from the start of the run.
struct request_outcome {
    std::size_t stream = 0;
    std::chrono::microseconds scheduledAt { 0 };
    unsigned status = 0;
    /// The error code of a refusal, or why the response is incomplete.
    std::string reason;
    /// The caller disconnected before the end of the response, as planned.
    bool abandoned = false;
    bool complete = false;
    /// The response, or the part of it that arrived, differs from the expected output.
    bool incorrect = false;
    /// The response has more tokens than expected, or the service ran the call more than once.
    bool duplicate = false;
    std::uint32_t tokens = 0;
    std::uint32_t promptTokens = 0;
    std::chrono::microseconds firstTokenAt { 0 };
    std::chrono::microseconds finishedAt { 0 };
};

/// Counts and latencies of the requests of one organisation or of all.
struct load_metrics {
    std::uint64_t sent = 0;
    std::uint64_t completed = 0;
    /// Complete responses; those of models only when within both latency targets.
    std::uint64_t good = 0;
    std::uint64_t goodTokens = 0;
    std::uint64_t refused = 0;
    std::uint64_t wronglyRefused = 0;
    std::uint64_t failed = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t incorrect = 0;
    std::uint64_t duplicates = 0;
    std::vector<double> firstTokenMillis;
    std::vector<double> perTokenMillis;
    std::vector<double> serviceMillis;
};

/// The results of one run.
struct load_report {
    std::string label;
    bool partial = false;
    double seconds = 0;
    load_metrics all;
    std::map<std::string, load_metrics> organisations;
    std::map<std::string, std::uint64_t> reasons;
    /// Number of good responses for each second of the run, by the time their requests were scheduled.
    std::vector<std::uint64_t> goodBySecond;
    /// The lowest share of good responses among the organisations that keep within their rate.
    double worstServedShare = 1;
    std::string worstOrganisation;
    /// Prefill tokens computed and wasted, as counted by the endpoints; makeReport() leaves them at 0.
    double prefillTokens = 0;
    double wastedTokens = 0;
};

load_report makeReport(const traffic_plan& plan, const std::vector<request_outcome>& outcomes, const std::string& label, bool partial);
/// The value at a quantile from 0 to 1; 0 if there are no values.
double percentile(std::vector<double> values, double quantile);
std::string reportToJson(const load_report& report);
std::string reportToTable(const load_report& report);
/// Plots the good responses per second of the runs as SVG.
std::string reportToSvg(const std::vector<load_report>& reports);
/// Reads the metrics that a comparison needs from a file written by reportToJson(). Errors: not such a file.
result<load_report> readReport(const std::string& path);
/// Formats runs as a Markdown table with one row per label; runs with the same label, such as several seeds, are averaged.
std::string formatComparison(const std::vector<load_report>& reports);

} // namespace pistachiolatch
