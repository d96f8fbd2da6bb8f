// Measures the latency that an entry adds to a call: makes the same call alternately to the stand-in directly and through
// the entry, then measures the throughput of 32 concurrent callers on each route. Prints a Markdown table.
#include "http/http.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <CLI/CLI.hpp>
#include <fmt/format.h>

using namespace pistachiolatch;

namespace {
struct route {
    std::string name;
    std::string address;
    std::string target;
    std::string key;
    std::vector<double> latenciesMs {};
    std::size_t completedCalls = 0;
};

task_of<void> callOnce(route& measured)
{
    http_request call;
    call.method = "GET";
    call.target = measured.target;
    if (!measured.key.empty())
        call.headers = { { "Authorization", "Bearer " + measured.key } };
    auto begin = std::chrono::steady_clock::now();
    auto response = co_await http_client::fetch(measured.address, call, milliseconds(1000), milliseconds(5000));
    if (!response.succeeded())
        co_return;
    ++measured.completedCalls;
    measured.latenciesMs.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count());
}

task_of<void> callAlternately(std::vector<route>& routes, int rounds)
{
    for (int i = 0; i < rounds; ++i) {
        for (auto& measured : routes)
            co_await callOnce(measured);
    }
}

task_of<void> callUntil(route& measured, std::chrono::steady_clock::time_point end)
{
    while (std::chrono::steady_clock::now() < end)
        co_await callOnce(measured);
}

double percentile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}
}

int main(int argc, char** argv)
{
    CLI::App app("Measures the latency that an entry adds.", "latency-bench");
    route direct { "straight", "", "/stock", "" };
    route viaEntry { "through an entry", "", "/services/orderdesk/stock", "" };
    app.add_option("--straight", direct.address)->required();
    app.add_option("--entry", viaEntry.address)->required();
    app.add_option("--key", viaEntry.key)->required();
    CLI11_PARSE(app, argc, argv);
    std::vector<route> routes { direct, viaEntry };
    boost::asio::io_context context;
    constexpr int rounds = 2000;
    boost::asio::co_spawn(context, callAlternately(routes, rounds), boost::asio::detached);
    context.run();
    fmt::print("| route | calls | p50 ms | p99 ms | calls/s of 32 callers |\n|---|---|---|---|---|\n");
    std::vector<std::pair<double, double>> percentiles;
    for (auto& measured : routes) {
        auto p50 = percentile(measured.latenciesMs, 0.5);
        auto p99 = percentile(measured.latenciesMs, 0.99);
        auto calls = measured.completedCalls;
        measured.completedCalls = 0;
        context.restart();
        constexpr std::chrono::seconds benchDuration { 3 };
        constexpr int callers = 32;
        auto end = std::chrono::steady_clock::now() + benchDuration;
        for (int i = 0; i < callers; ++i)
            boost::asio::co_spawn(context, callUntil(measured, end), boost::asio::detached);
        context.run();
        fmt::print("| {} | {} | {:.2f} | {:.2f} | {:.0f} |\n", measured.name, calls, p50, p99, static_cast<double>(measured.completedCalls) / benchDuration.count());
        percentiles.emplace_back(p50, p99);
    }
    fmt::print("| added (through less straight) | | {:.2f} | {:.2f} | |\n| ratio | | {:.2f} | {:.2f} | |\n", percentiles[1].first - percentiles[0].first, percentiles[1].second - percentiles[0].second, percentiles[1].first / percentiles[0].first, percentiles[1].second / percentiles[0].second);
    return 0;
}
