// pistachiolatch-load: sends traffic in open loop, checks the answers, and reports the brief's four measures.
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

    int complain(const std::string& problem)
    {
        fmt::print(stderr, "{}\n", problem);
        return exitBadInput;
    }

    /// The keys file holds ORGANISATION=KEY lines, as Utilities/local-fleet writes them.
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

    /// Sums what the stand-in endpoints count of their prefill work.
    void addEndpointCounts(load_report& report, const std::vector<std::string>& endpoints, double sign)
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

    int compareRuns(const load_arguments& arguments)
    {
        std::vector<load_report> reports;
        for (const auto& path : arguments.compare) {
            auto report = readReport(path);
            if (!report)
                return complain(report.error().message);
            reports.push_back(std::move(report.value()));
        }
        fmt::print("{}", compareTable(reports));
        if (!arguments.svg.empty())
            std::ofstream(arguments.svg) << reportSvg(reports);
        return exitOk;
    }

    int runLoad(const load_arguments& arguments)
    {
        auto plan = readTrafficPlan(arguments.traffic, arguments.scale);
        if (!plan)
            return complain(plan.error().message);
        if (arguments.seed != 0)
            plan.value().seed = arguments.seed;
        if (arguments.check) {
            fmt::print("{}: traffic is good, {} requests\n", arguments.traffic, planRequests(plan.value()).size());
            return exitOk;
        }
        auto keys = readKeys(arguments.keys);
        if (!keys)
            return complain(keys.error().message);
        if (arguments.entries.empty())
            return complain("--entries: give the callers' address of each entry");
        for (const auto& address : arguments.entries) {
            if (!isAddress(address))
                return complain(fmt::format("--entries: \"{}\" is no IPv4 address and port", address));
        }
        for (const auto& stream : plan.value().streams) {
            if (!keys.value().count(stream.organisation))
                return complain(fmt::format("{}: stream \"{}\": organisation \"{}\" has no key in {}", arguments.traffic, stream.name, stream.organisation, arguments.keys));
        }

        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        load_report before;
        addEndpointCounts(before, arguments.endpoints, -1);
        load_runner runner(plan.value(), { arguments.entries, keys.value() });
        std::thread watcher([&] {
            int signal = 0;
            sigwait(&signals, &signal);
            runner.stop();
        });
        auto outcomes = runner.run();
        bool partial = runner.stopped();
        pthread_kill(watcher.native_handle(), SIGTERM);
        watcher.join();
        auto report = makeReport(plan.value(), outcomes, arguments.label, partial);
        report.prefillTokens = before.prefillTokens;
        report.wastedTokens = before.wastedTokens;
        addEndpointCounts(report, arguments.endpoints, 1);
        fmt::print("{}", reportTable(report));
        if (report.prefillTokens > 0)
            fmt::print("prefill tokens {:.0f}, wasted {:.2f} %\n", report.prefillTokens, 100.0 * report.wastedTokens / report.prefillTokens);
        if (!arguments.json.empty())
            std::ofstream(arguments.json) << reportJson(report) << "\n";
        if (!arguments.svg.empty())
            std::ofstream(arguments.svg) << reportSvg({ report });
        return report.all.wrong > 0 || report.all.duplicates > 0 ? exitFailed : exitOk;
    }
}

} // namespace pistachiolatch

int main(int argc, char** argv)
{
    using namespace pistachiolatch;
    CLI::App app("Sends traffic to a fleet in open loop and reports goodput, wasted prefill, the worst-served organisation and wrongful refusals.", "pistachiolatch-load");
    app.set_version_flag("--version", std::string("pistachiolatch-load ") + PISTACHIOLATCH_VERSION);
    load_arguments arguments;
    app.add_option("--traffic", arguments.traffic, "TOML file of streams");
    app.add_option("--entries", arguments.entries, "callers' addresses, separated by commas")->delimiter(',');
    app.add_option("--keys", arguments.keys, "file of ORGANISATION=KEY lines");
    app.add_option("--endpoints", arguments.endpoints, "stand-in endpoints to ask for their prefill counts")->delimiter(',');
    app.add_option("--label", arguments.label, "name of the run");
    app.add_option("--json", arguments.json, "write the report as JSON");
    app.add_option("--svg", arguments.svg, "write a plot");
    app.add_option("--scale", arguments.scale, "multiplies every stream's rate")->check(CLI::Range(0.001, 1000.0));
    app.add_option("--seed", arguments.seed, "replaces the file's seed");
    app.add_flag("--check", arguments.check, "check the traffic file and exit");
    app.add_option("--compare", arguments.compare, "print reports side by side")->delimiter(',');
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exitOk : exitBadInput;
    }
    if (!arguments.compare.empty())
        return compareRuns(arguments);
    if (arguments.traffic.empty())
        return complain("give --traffic FILE or --compare FILES");
    return runLoad(arguments);
}
