// pistachiolatch-load: sends traffic in an open loop, verifies the responses, and reports goodput, wasted prefill, the
// worst-served organisation and wrongful refusals.
#include "load/load_runner.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <thread>

namespace pistachiolatch {

namespace {
    constexpr int exitOk = 0;
    constexpr int exitFailed = 1;
    constexpr int exitBadInput = 2;

    struct load_arguments {
        std::string traffic;
        std::vector<std::string> entries;
        std::string keys;
        std::vector<std::string> endpoints;
        std::string label = "run";
        std::string json;
        std::string svg;
        double scale = 1;
        std::uint64_t seed = 0;
        bool check = false;
        std::vector<std::string> compare;
    };

    int reportError(const std::string& message)
    {
        fmt::print(stderr, "{}\n", message);
        return exitBadInput;
    }

    /// Reads the API keys from a file of ORGANISATION=KEY lines, as Utilities/local-fleet writes it.
    result<std::map<std::string, std::string>> readKeys(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            return failure { fmt::format("{}: can't be read; give a file of ORGANISATION=KEY lines", path) };
        std::map<std::string, std::string> keys;
        std::string line;
        while (std::getline(file, line)) {
            auto equals = line.find('=');
            if (equals != std::string::npos)
                keys[line.substr(0, equals)] = line.substr(equals + 1);
        }
        return keys;
    }

    /// Adds the prefill counters of the fake endpoints to the report, or subtracts them if sign is -1.
    void addEndpointCounters(load_report& report, const std::vector<std::string>& endpoints, double sign)
    {
        for (const auto& address : endpoints) {
            boost::asio::io_context context;
            http_response answer;
            http_request call { "GET", "/stats", {}, "" };
            auto run = [&]() -> task_of<void> { answer = co_await http_client::fetch(address, call, milliseconds(1000), milliseconds(3000)); };
            boost::asio::co_spawn(context, run, boost::asio::detached);
            context.run();
            boost::json::error_code error;
            auto value = boost::json::parse(answer.body, error);
            if (error || !value.is_object())
                continue;
            report.prefillTokens += sign * value.at("tokens_prefilled").to_number<double>();
            report.wastedTokens += sign * value.at("tokens_wasted").to_number<double>();
        }
    }

    int printComparison(const load_arguments& arguments)
    {
        std::vector<load_report> reports;
        for (const auto& path : arguments.compare) {
            auto report = readReport(path);
            if (!report)
                return reportError(report.error().message);
            reports.push_back(std::move(report.value()));
        }
        fmt::print("{}", formatComparison(reports));
        if (!arguments.svg.empty())
            std::ofstream(arguments.svg) << reportToSvg(reports);
        return exitOk;
    }

    int runLoad(const load_arguments& arguments)
    {
        auto plan = readTrafficPlan(arguments.traffic, arguments.scale);
        if (!plan)
            return reportError(plan.error().message);
        if (arguments.seed != 0)
            plan.value().seed = arguments.seed;
        if (arguments.check) {
            fmt::print("{}: traffic is valid, {} requests\n", arguments.traffic, planRequests(plan.value()).size());
            return exitOk;
        }
        auto keys = readKeys(arguments.keys);
        if (!keys)
            return reportError(keys.error().message);
        if (arguments.entries.empty())
            return reportError("--entries: give the address for callers of each entry");
        for (const auto& address : arguments.entries) {
            if (!isAddress(address))
                return reportError(fmt::format("--entries: \"{}\" is not an IPv4 address and port", address));
        }
        for (const auto& stream : plan.value().streams) {
            if (!keys.value().count(stream.organisation))
                return reportError(fmt::format("{}: stream \"{}\": organisation \"{}\" has no key in {}", arguments.traffic, stream.name, stream.organisation, arguments.keys));
        }

        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        load_report baseline;
        addEndpointCounters(baseline, arguments.endpoints, -1);
        load_runner runner(plan.value(), { arguments.entries, keys.value() });
        std::thread signalThread([&] {
            int signal = 0;
            sigwait(&signals, &signal);
            runner.stop();
        });
        auto outcomes = runner.run();
        bool partial = runner.stopped();
        pthread_kill(signalThread.native_handle(), SIGTERM);
        signalThread.join();
        auto report = makeReport(plan.value(), outcomes, arguments.label, partial);
        report.prefillTokens = baseline.prefillTokens;
        report.wastedTokens = baseline.wastedTokens;
        addEndpointCounters(report, arguments.endpoints, 1);
        fmt::print("{}", reportToTable(report));
        if (report.prefillTokens > 0)
            fmt::print("prefill tokens {:.0f}, wasted {:.2f} %\n", report.prefillTokens, 100.0 * report.wastedTokens / report.prefillTokens);
        if (!arguments.json.empty())
            std::ofstream(arguments.json) << reportToJson(report) << "\n";
        if (!arguments.svg.empty())
            std::ofstream(arguments.svg) << reportToSvg({ report });
        return report.all.incorrect > 0 || report.all.duplicates > 0 ? exitFailed : exitOk;
    }
}

} // namespace pistachiolatch

int main(int argc, char** argv)
{
    using namespace pistachiolatch;
    CLI::App app("Sends traffic to a fleet in an open loop and reports goodput, wasted prefill, the worst-served organisation and wrongful refusals.", "pistachiolatch-load");
    app.set_version_flag("--version", std::string("pistachiolatch-load ") + PISTACHIOLATCH_VERSION);
    load_arguments arguments;
    app.add_option("--traffic", arguments.traffic, "TOML file that describes the traffic");
    app.add_option("--entries", arguments.entries, "addresses for callers of the entries, separated by commas")->delimiter(',');
    app.add_option("--keys", arguments.keys, "file of ORGANISATION=KEY lines");
    app.add_option("--endpoints", arguments.endpoints, "fake endpoints to read prefill counters from, separated by commas")->delimiter(',');
    app.add_option("--label", arguments.label, "label of the run; runs with the same label are averaged by --compare");
    app.add_option("--json", arguments.json, "write the report as JSON");
    app.add_option("--svg", arguments.svg, "write a plot of good responses per second as SVG");
    app.add_option("--scale", arguments.scale, "factor for the rate of every stream")->check(CLI::Range(0.001, 1000.0));
    app.add_option("--seed", arguments.seed, "seed to use instead of the one in the traffic file");
    app.add_flag("--check", arguments.check, "validate the traffic file and exit");
    app.add_option("--compare", arguments.compare, "print a table that compares JSON reports, separated by commas")->delimiter(',');
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exitOk : exitBadInput;
    }
    if (!arguments.compare.empty())
        return printComparison(arguments);
    if (arguments.traffic.empty())
        return reportError("give --traffic FILE or --compare FILES");
    return runLoad(arguments);
}
