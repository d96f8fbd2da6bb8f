#pragma once
#include "load/traffic_plan.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// What one request came to.
struct request_outcome {
    std::size_t stream = 0;
    std::chrono::microseconds intended { 0 };
    unsigned status = 0;
    /// The reason of a refusal, or why the answer does not count.
    std::string reason;
    bool left = false;
    bool whole = false;
    /// The answer was whole and not the one that this prompt has.
    bool wrong = false;
    bool duplicate = false;
    std::uint32_t tokens = 0;
    std::uint32_t promptTokens = 0;
    std::chrono::microseconds firstToken { 0 };
    std::chrono::microseconds finished { 0 };
};

/// The brief's four measures for one organisation or for all.
struct load_measures {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    /// Answered whole within both latency targets.
    std::uint64_t good = 0;
    std::uint64_t goodTokens = 0;
    std::uint64_t refused = 0;
    std::uint64_t wronglyRefused = 0;
    std::uint64_t failed = 0;
    std::uint64_t left = 0;
    std::uint64_t wrong = 0;
    std::uint64_t duplicates = 0;
    std::vector<double> firstTokenMillis;
    std::vector<double> perTokenMillis;
    std::vector<double> serviceMillis;
};

/// All results of one run.
struct load_report {
    std::string label;
    bool partial = false;
    double seconds = 0;
    load_measures all;
    std::map<std::string, load_measures> organisations;
    std::map<std::string, std::uint64_t> reasons;
    /// Answered well within the targets, for each second of the run.
    std::vector<std::uint64_t> goodBySecond;
    /// The share of its wanted tokens that the worst-served organisation within its rate got answered well.
    double worstServed = 1;
    std::string worstOrganisation;
    /// Prefill tokens computed and wasted, as the endpoints count them; filled in by the one who measures.
    double prefillTokens = 0;
    double wastedTokens = 0;
};

load_report makeReport(const traffic_plan& plan, const std::vector<request_outcome>& outcomes, const std::string& label, bool partial);
/// The value below which that part of the values lie; 0 when there are none.
double percentile(std::vector<double> values, double part);
std::string reportJson(const load_report& report);
std::string reportTable(const load_report& report);
/// A plot of good answers for each second of the run, as SVG.
std::string reportSvg(const std::vector<load_report>& reports);
/// The measures that a comparison needs, read back from reportJson(). Errors: not such a file.
result<load_report> readReport(const std::string& path);
/// Several runs side by side as a Markdown table; runs with one label (seeds) are taken together.
std::string compareTable(const std::vector<load_report>& reports);

} // namespace pistachiolatch
