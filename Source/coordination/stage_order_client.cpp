#include "coordination/stage_order_client.h"

#include <boost/asio/co_spawn.hpp>

namespace pistachiolatch {

namespace {
    constexpr milliseconds connectTimeout { 400 };
    /// An endpoint may take seconds to answer an order; its reports show the result then.
    constexpr milliseconds answerTimeout { 1000 };
    /// Far more than a status or an answer to an order.
    constexpr std::uint64_t maxAnswerBytes = 64UL * 1024;
    constexpr unsigned accepted = 202;
    constexpr unsigned alreadyInStage = 200;
}

task_of<bool> stage_order_client::sendOrder(std::string address, stage_order order, std::function<bool()> isLeader) const
{
    auto statusRequest = m_codec.encodeStatusRequest();
    statusRequest.maxResponseBytes = maxAnswerBytes;
    auto statusReply = co_await http_client::fetch(address, statusRequest, connectTimeout, answerTimeout);
    auto status = statusReply.succeeded() ? m_codec.decodeStatus(statusReply.body) : std::nullopt;
    if (!status || status->busy || !isLeader()) {
        logEvent("order_not_given", { { "endpoint", order.endpointId }, { "answered", status ? 1 : 0 }, { "busy", status && status->busy ? 1 : 0 } });
        co_return false;
    }
    order.expectedSequence = status->sequence;
    auto call = m_codec.encodeOrder(order);
    call.maxResponseBytes = maxAnswerBytes;
    auto answer = co_await http_client::fetch(address, call, connectTimeout, answerTimeout);
    bool isAccepted = answer.status == accepted || answer.status == alreadyInStage;
    // An order that was sent but not answered may still be executed.
    bool mayBeAccepted = isAccepted || answer.failed == call_failure::Broken || answer.failed == call_failure::Stalled;
    logEvent("order_given", { { "endpoint", order.endpointId }, { "stage", static_cast<int>(order.stage) }, { "fence", order.fence }, { "expected", order.expectedSequence }, { "status", answer.status }, { "taken", isAccepted ? 1 : 0 } });
    co_return mayBeAccepted;
}

void stage_order_client::send(const std::string& address, stage_order order, std::function<bool()> isLeader, handler done)
{
    boost::asio::co_spawn(m_context, sendOrder(address, std::move(order), std::move(isLeader)), [done = std::move(done)](std::exception_ptr error, bool sent) {
        done(!error && sent);
    });
}

} // namespace pistachiolatch
