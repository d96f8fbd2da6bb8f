#include "command/operator_client.h"

#include "http/http.h"
#include <boost/asio.hpp>
#include <thread>

namespace pistachiolatch {

namespace {
    constexpr milliseconds connectTimeout { 500 };
    constexpr milliseconds answerTimeout { 20000 };
    constexpr milliseconds lookFor { 20000 };
    constexpr milliseconds pause { 300 };
    constexpr unsigned unavailable = 503;

    http_response fetchOnce(const std::string& address, const http_request& call)
    {
        boost::asio::io_context context;
        http_response answer;
        auto run = [&]() -> task_of<void> { answer = co_await http_client::fetch(address, call, connectTimeout, answerTimeout); };
        boost::asio::co_spawn(context, run, boost::asio::detached);
        context.run();
        return answer;
    }
}

result<operator_answer> operator_client::call(const std::string& method, const std::string& target, const std::string& body) const
{
    http_request call;
    call.method = method;
    call.target = target;
    call.headers = { { "Authorization", "Bearer " + m_settings.token }, { "Content-Type", "application/json" } };
    call.body = body;
    std::string lastProblem = "no control VM answered";
    auto deadline = std::chrono::steady_clock::now() + lookFor;
    while (std::chrono::steady_clock::now() < deadline) {
        for (const auto& address : m_settings.controls) {
            auto answer = fetchOnce(address, call);
            if (answer.failed != call_failure::None) {
                lastProblem = fmt::format("{} can't be reached or broke off", address);
                continue;
            }
            if (answer.status != unavailable)
                return operator_answer { answer.status, answer.body };
            lastProblem = fmt::format("{} does not lead or has no quorum", address);
        }
        std::this_thread::sleep_for(pause);
    }
    return failure { fmt::format("no leader of control within {} s (last: {}); check the control VMs and their network", lookFor.count() / 1000, lastProblem) };
}

} // namespace pistachiolatch
