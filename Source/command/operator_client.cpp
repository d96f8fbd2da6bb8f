#include "command/operator_client.h"

#include "http/http.h"
#include <boost/asio.hpp>
#include <thread>

namespace pistachiolatch {

namespace {
    constexpr milliseconds connectTimeout { 500 };
    constexpr milliseconds responseTimeout { 20000 };
    constexpr milliseconds leaderSearchTimeout { 20000 };
    constexpr milliseconds retryDelay { 300 };
    constexpr unsigned statusUnavailable = 503;

    http_response fetchOnce(const std::string& address, const http_request& call)
    {
        boost::asio::io_context context;
        http_response answer;
        auto run = [&]() -> task_of<void> { answer = co_await http_client::fetch(address, call, connectTimeout, responseTimeout); };
        boost::asio::co_spawn(context, run, boost::asio::detached);
        context.run();
        return answer;
    }
}

result<operator_response> operator_client::sendRequest(const std::string& method, const std::string& target, const std::string& body) const
{
    http_request call;
    call.method = method;
    call.target = target;
    call.headers = { { "Authorization", "Bearer " + m_settings.token }, { "Content-Type", "application/json" } };
    call.body = body;
    std::string lastError = "no control VM responded";
    auto deadline = std::chrono::steady_clock::now() + leaderSearchTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        for (const auto& address : m_settings.controlAddresses) {
            auto answer = fetchOnce(address, call);
            if (answer.failed != call_failure::None) {
                lastError = fmt::format("{} can't be reached or closed the connection", address);
                continue;
            }
            if (answer.status != statusUnavailable)
                return operator_response { answer.status, answer.body };
            lastError = fmt::format("{} does not lead or has no quorum", address);
        }
        std::this_thread::sleep_for(retryDelay);
    }
    return failure { fmt::format("no control leader found within {} s (last error: {}); check the control VMs and their network", leaderSearchTimeout.count() / 1000, lastError) };
}

} // namespace pistachiolatch
