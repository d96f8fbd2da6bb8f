// Measures what the path through an entry adds to a call, against calling the stand-in straight: the same call in turn,
// straight and through the entry, then as many as 32 callers at once get through. Prints a Markdown table.
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
    std::vector<double> millis {};
    std::size_t answered = 0;
};

task_of<void> callOnce(route& one)
{
    http_request call;
    call.method = "GET";
    call.target = one.target;
    if (!one.key.empty())
        call.headers = { { "Authorization", "Bearer " + one.key } };
    auto begin = std::chrono::steady_clock::now();
    auto answer = co_await http_client::fetch(one.address, call, milliseconds(1000), milliseconds(5000));
    if (!answer.succeeded())
        co_return;
    ++one.answered;
    one.millis.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count());
}

task_of<void> callInTurn(std::vector<route>& routes, int rounds)
{
    for (int i = 0; i < rounds; ++i) {
        for (auto& one : routes)
            co_await callOnce(one);
    }
}

task_of<void> callUntil(route& one, std::chrono::steady_clock::time_point end)
{
    while (std::chrono::steady_clock::now() < end)
        co_await callOnce(one);
}

double at(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}
}

int main(int argc, char** argv)
{
    CLI::App app("Measures the latency that an entry adds.", "latency-bench");
    route straight { "straight", "", "/stock", "" };
    route through { "through an entry", "", "/services/orderdesk/stock", "" };
    app.add_option("--straight", straight.address)->required();
    app.add_option("--entry", through.address)->required();
    app.add_option("--key", through.key)->required();
    CLI11_PARSE(app, argc, argv);
    std::vector<route> routes { straight, through };
    boost::asio::io_context context;
    constexpr int rounds = 2000;
    boost::asio::co_spawn(context, callInTurn(routes, rounds), boost::asio::detached);
    context.run();
    fmt::print("| route | calls | p50 ms | p99 ms | calls/s of 32 callers |\n|---|---|---|---|---|\n");
    std::vector<std::pair<double, double>> figures;
    for (auto& one : routes) {
        auto p50 = at(one.millis, 0.5);
        auto p99 = at(one.millis, 0.99);
        auto calls = one.answered;
        one.answered = 0;
        context.restart();
        constexpr std::chrono::seconds length { 3 };
        constexpr int callers = 32;
        auto end = std::chrono::steady_clock::now() + length;
        for (int i = 0; i < callers; ++i)
            boost::asio::co_spawn(context, callUntil(one, end), boost::asio::detached);
        context.run();
        fmt::print("| {} | {} | {:.2f} | {:.2f} | {:.0f} |\n", one.name, calls, p50, p99, static_cast<double>(one.answered) / length.count());
        figures.emplace_back(p50, p99);
    }
    fmt::print("| added (through less straight) | | {:.2f} | {:.2f} | |\n| ratio | | {:.2f} | {:.2f} | |\n", figures[1].first - figures[0].first, figures[1].second - figures[0].second, figures[1].first / figures[0].first, figures[1].second / figures[0].second);
    return 0;
}
