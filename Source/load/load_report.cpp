#include "load/load_report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <sstream>

namespace pistachiolatch {

namespace json = boost::json;

namespace {
    constexpr double microsPerMilli = 1000.0;

    /// Whether a refusal was caused by the request itself or by its organisation exceeding its rate.
    bool isCallerFault(const std::string& reason, const traffic_stream& stream)
    {
        return reason == "over_rate" ? !stream.withinRate : reason == "bad_request" || reason == "request_exceeds_burst";
    }

    void addOutcome(load_metrics& metrics, const request_outcome& outcome, const traffic_stream& stream, const traffic_plan& plan)
    {
        ++metrics.sent;
        metrics.incorrect += outcome.incorrect ? 1 : 0;
        metrics.duplicates += outcome.duplicate ? 1 : 0;
        if (outcome.abandoned) {
            ++metrics.abandoned;
            return;
        }
        if (!outcome.complete) {
            bool refused = outcome.status >= 400;
            metrics.refused += refused ? 1 : 0;
            metrics.failed += refused ? 0 : 1;
            metrics.wronglyRefused += refused && stream.withinRate && !isCallerFault(outcome.reason, stream) ? 1 : 0;
            return;
        }
        ++metrics.completed;
        auto firstToken = static_cast<double>((outcome.firstTokenAt - outcome.scheduledAt).count()) / microsPerMilli;
        if (stream.kind == "service") {
            metrics.serviceMillis.push_back(firstToken);
            ++metrics.good;
            return;
        }
        auto perToken = outcome.tokens > 1 ? static_cast<double>((outcome.finishedAt - outcome.firstTokenAt).count()) / microsPerMilli / (outcome.tokens - 1) : 0.0;
        metrics.firstTokenMillis.push_back(firstToken);
        metrics.perTokenMillis.push_back(perToken);
        if (firstToken > static_cast<double>(plan.firstTokenTarget.count()) || perToken > static_cast<double>(plan.perTokenTarget.count()))
            return;
        ++metrics.good;
        metrics.goodTokens += outcome.tokens;
    }

    json::object metricsToJson(const load_metrics& metrics, double seconds)
    {
        json::object body;
        body["sent"] = metrics.sent;
        body["answered"] = metrics.completed;
        body["good"] = metrics.good;
        body["goodput_per_s"] = static_cast<double>(metrics.good) / seconds;
        body["good_tokens_per_s"] = static_cast<double>(metrics.goodTokens) / seconds;
        body["refused"] = metrics.refused;
        body["wrongly_refused"] = metrics.wronglyRefused;
        body["failed"] = metrics.failed;
        body["left"] = metrics.abandoned;
        body["wrong"] = metrics.incorrect;
        body["duplicates"] = metrics.duplicates;
        body["first_token_ms_p50"] = percentile(metrics.firstTokenMillis, 0.5);
        body["first_token_ms_p95"] = percentile(metrics.firstTokenMillis, 0.95);
        body["first_token_ms_p99"] = percentile(metrics.firstTokenMillis, 0.99);
        body["per_token_ms_p95"] = percentile(metrics.perTokenMillis, 0.95);
        body["service_ms_p50"] = percentile(metrics.serviceMillis, 0.5);
        body["service_ms_p99"] = percentile(metrics.serviceMillis, 0.99);
        return body;
    }

    json::array histogram(const std::vector<double>& millis)
    {
        json::array buckets;
        for (double upperBound = 1; upperBound <= 65536; upperBound *= 2) {
            auto count = std::count_if(millis.begin(), millis.end(), [upperBound](double value) { return value <= upperBound; });
            buckets.push_back(json::object { { "le_ms", upperBound }, { "count", count } });
        }
        return buckets;
    }
}

double percentile(std::vector<double> values, double quantile)
{
    if (values.empty())
        return 0;
    auto rank = std::min(values.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
    return values[rank];
}

load_report makeReport(const traffic_plan& plan, const std::vector<request_outcome>& outcomes, const std::string& label, bool partial)
{
    load_report report;
    report.label = label;
    report.partial = partial;
    report.seconds = std::chrono::duration<double>(plan.duration - plan.warmUp).count();
    report.goodBySecond.resize(static_cast<std::size_t>(plan.duration.count() / 1000 + 1));
    struct request_counts {
        double sent = 0;
        double good = 0;
    };
    std::map<std::string, request_counts> counts;
    for (const auto& outcome : outcomes) {
        const auto& stream = plan.streams[outcome.stream];
        if (outcome.scheduledAt < plan.warmUp)
            continue;
        auto before = report.all.good;
        addOutcome(report.all, outcome, stream, plan);
        addOutcome(report.organisations[stream.organisation], outcome, stream, plan);
        bool good = report.all.good > before;
        if (good)
            ++report.goodBySecond[static_cast<std::size_t>(outcome.scheduledAt.count() / 1000000)];
        if (!outcome.reason.empty())
            ++report.reasons[outcome.reason];
        if (!stream.withinRate || outcome.abandoned)
            continue;
        counts[stream.organisation].sent += 1;
        counts[stream.organisation].good += good ? 1 : 0;
    }
    for (const auto& [organisation, count] : counts) {
        auto share = count.sent > 0 ? count.good / count.sent : 1.0;
        if (share >= report.worstServedShare && !report.worstOrganisation.empty())
            continue;
        report.worstServedShare = share;
        report.worstOrganisation = organisation;
    }
    return report;
}

std::string reportToJson(const load_report& report)
{
    json::object body;
    body["label"] = report.label;
    body["partial"] = report.partial;
    body["seconds"] = report.seconds;
    body["all"] = metricsToJson(report.all, report.seconds);
    body["worst_served"] = report.worstServedShare;
    body["worst_organisation"] = report.worstOrganisation;
    body["prefill_tokens"] = report.prefillTokens;
    body["wasted_tokens"] = report.wastedTokens;
    body["first_token_histogram"] = histogram(report.all.firstTokenMillis);
    body["service_histogram"] = histogram(report.all.serviceMillis);
    json::object organisations;
    for (const auto& [name, metrics] : report.organisations)
        organisations[name] = metricsToJson(metrics, report.seconds);
    body["organisations"] = std::move(organisations);
    json::object reasons;
    for (const auto& [name, times] : report.reasons)
        reasons[name] = times;
    body["reasons"] = std::move(reasons);
    body["good_by_second"] = json::array(report.goodBySecond.begin(), report.goodBySecond.end());
    return json::serialize(body);
}

std::string reportToTable(const load_report& report)
{
    auto text = fmt::format("{}{}\n{:<20} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>5} {:>9} {:>9} {:>9}\n", report.label, report.partial ? " (partial: interrupted)" : "",
        "organisation", "sent", "whole", "good", "refused", "wrongly", "failed", "left", "ttft p95", "token p95", "svc p99");
    auto row = [&](const std::string& name, const load_metrics& metrics) {
        text += fmt::format("{:<20} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>5} {:>9.0f} {:>9.1f} {:>9.1f}\n", name, metrics.sent, metrics.completed, metrics.good, metrics.refused, metrics.wronglyRefused, metrics.failed, metrics.abandoned,
            percentile(metrics.firstTokenMillis, 0.95), percentile(metrics.perTokenMillis, 0.95), percentile(metrics.serviceMillis, 0.99));
    };
    for (const auto& [name, metrics] : report.organisations)
        row(name, metrics);
    row("all", report.all);
    text += fmt::format("goodput {:.1f}/s, worst served {} at {:.2f}, wrong answers {}, duplicates {}\n", static_cast<double>(report.all.good) / report.seconds, report.worstOrganisation, report.worstServedShare, report.all.incorrect, report.all.duplicates);
    for (const auto& [name, times] : report.reasons)
        text += fmt::format("  {}: {}\n", name, times);
    return text;
}

std::string reportToSvg(const std::vector<load_report>& reports)
{
    constexpr double width = 720;
    constexpr double height = 300;
    constexpr double margin = 40;
    static const std::vector<std::string> colours { "#1b6ca8", "#c2571a", "#3a7d44", "#7b3f98" };
    std::uint64_t maxGood = 1;
    std::size_t seconds = 1;
    for (const auto& report : reports) {
        seconds = std::max(seconds, report.goodBySecond.size());
        for (auto good : report.goodBySecond)
            maxGood = std::max(maxGood, good);
    }
    auto svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"{}\" y=\"20\">good responses per second of the run (maximum {})</text>\n",
        width, height, margin, maxGood);
    for (std::size_t i = 0; i < reports.size(); ++i) {
        std::string points;
        for (std::size_t s = 0; s + 1 < reports[i].goodBySecond.size(); ++s) {
            auto x = margin + (width - 2 * margin) * static_cast<double>(s) / static_cast<double>(seconds);
            auto y = height - margin - (height - 2 * margin) * static_cast<double>(reports[i].goodBySecond[s]) / static_cast<double>(maxGood);
            points += fmt::format("{:.1f},{:.1f} ", x, y);
        }
        const auto& colour = colours[i % colours.size()];
        svg += fmt::format("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"2\" points=\"{}\"/>\n<text x=\"{}\" y=\"{}\" fill=\"{}\">{}</text>\n", colour, points, margin + 160.0 * static_cast<double>(i), height - 12, colour, reports[i].label);
    }
    return svg + "</svg>\n";
}

result<load_report> readReport(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    json::error_code error;
    auto value = json::parse(content.str(), error);
    if (!file || error || !value.is_object() || !value.get_object().contains("good_by_second"))
        return failure { fmt::format("{}: not a report of pistachiolatch-load; give a file written with --json", path) };
    load_report report;
    const auto& all = value.at("all");
    report.label = value.at("label").as_string().c_str();
    report.partial = value.at("partial").as_bool();
    report.seconds = value.at("seconds").to_number<double>();
    report.worstServedShare = value.at("worst_served").to_number<double>();
    report.worstOrganisation = value.at("worst_organisation").as_string().c_str();
    report.prefillTokens = value.at("prefill_tokens").to_number<double>();
    report.wastedTokens = value.at("wasted_tokens").to_number<double>();
    report.all.sent = all.at("sent").to_number<std::uint64_t>();
    report.all.good = all.at("good").to_number<std::uint64_t>();
    report.all.wronglyRefused = all.at("wrongly_refused").to_number<std::uint64_t>();
    report.all.failed = all.at("failed").to_number<std::uint64_t>();
    report.all.incorrect = all.at("wrong").to_number<std::uint64_t>();
    report.all.duplicates = all.at("duplicates").to_number<std::uint64_t>();
    report.all.firstTokenMillis = { all.at("first_token_ms_p95").to_number<double>() };
    report.all.serviceMillis = { all.at("service_ms_p99").to_number<double>() };
    for (const auto& good : value.at("good_by_second").as_array())
        report.goodBySecond.push_back(good.to_number<std::uint64_t>());
    return report;
}

namespace {
    /// The runs that share a label, usually one per seed.
    struct run_group {
        std::string label;
        std::vector<const load_report*> runs;

        double mean(double (*metric)(const load_report&)) const
        {
            double sum = 0;
            for (const auto* run : runs)
                sum += metric(*run);
            return sum / static_cast<double>(runs.size());
        }
    };

    double goodput(const load_report& report)
    {
        return static_cast<double>(report.all.good) / report.seconds;
    }
    double worstServedShare(const load_report& report)
    {
        return report.worstServedShare;
    }
    double wastedPercent(const load_report& report)
    {
        return report.prefillTokens > 0 ? 100.0 * report.wastedTokens / report.prefillTokens : 0.0;
    }
    double wronglyRefusedPerThousand(const load_report& report)
    {
        return report.all.sent > 0 ? 1000.0 * static_cast<double>(report.all.wronglyRefused) / static_cast<double>(report.all.sent) : 0.0;
    }
    double failedRequests(const load_report& report)
    {
        return static_cast<double>(report.all.failed);
    }
    double firstTokenP95(const load_report& report)
    {
        return percentile(report.all.firstTokenMillis, 0.95);
    }
    double serviceP99(const load_report& report)
    {
        return percentile(report.all.serviceMillis, 0.99);
    }

    std::vector<run_group> groupByLabel(const std::vector<load_report>& reports)
    {
        std::vector<run_group> groups;
        for (const auto& report : reports) {
            auto found = std::find_if(groups.begin(), groups.end(), [&](const auto& group) { return group.label == report.label; });
            if (found == groups.end())
                found = groups.insert(groups.end(), run_group { report.label, {} });
            found->runs.push_back(&report);
        }
        return groups;
    }
}

std::string formatComparison(const std::vector<load_report>& reports)
{
    std::string text = "| run | seeds | goodput/s (min to max) | wasted prefill % | worst served | wrongly refused of 1000 | failed | wrong or duplicate | ttft p95 ms | service p99 ms |\n|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto& group : groupByLabel(reports)) {
        double minGoodput = goodput(*group.runs.front());
        double maxGoodput = minGoodput;
        std::uint64_t incorrect = 0;
        bool partial = false;
        for (const auto* run : group.runs) {
            minGoodput = std::min(minGoodput, goodput(*run));
            maxGoodput = std::max(maxGoodput, goodput(*run));
            incorrect += run->all.incorrect + run->all.duplicates;
            partial = partial || run->partial;
        }
        text += fmt::format("| {}{} | {} | {:.1f} ({:.1f} to {:.1f}) | {:.2f} | {:.2f} | {:.1f} | {:.1f} | {} | {:.0f} | {:.1f} |\n", group.label, partial ? " (partial)" : "", group.runs.size(),
            group.mean(goodput), minGoodput, maxGoodput, group.mean(wastedPercent), group.mean(worstServedShare), group.mean(wronglyRefusedPerThousand), group.mean(failedRequests), incorrect, group.mean(firstTokenP95), group.mean(serviceP99));
    }
    return text;
}

} // namespace pistachiolatch
