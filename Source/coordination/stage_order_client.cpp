#include "coordination/stage_order_client.h"

#include <boost/asio/co_spawn.hpp>

namespace pistachiolatch {

namespace {
    constexpr milliseconds connectTimeout { 400 };
    /// An endpoint that carries orders out late leaves them unanswered for seconds; its reports tell what came of them.
    constexpr milliseconds answerTimeout { 1000 };
    constexpr unsigned accepted = 202;
    constexpr unsigned holdsAlready = 200;
}

task_of<bool> stage_order_client::giveNow(std::string address, stage_order order, std::function<bool()> stillLeads) const
{
    auto question = m_dialect.encodeQuestion();
    auto readiness = co_await http_client::fetch(address, question, connectTimeout, answerTimeout);
    auto known = readiness.succeeded() ? m_dialect.decodeReadiness(readiness.body) : std::nullopt;
    if (!known || known->busy || !stillLeads()) {
        logEvent("order_not_given", { { "endpoint", order.endpointId }, { "answered", known ? 1 : 0 }, { "busy", known && known->busy ? 1 : 0 } });
        co_return false;
    }
    order.expectedSequence = known->sequence;
    auto call = m_dialect.encodeOrder(order);
    auto answer = co_await http_client::fetch(address, call, connectTimeout, answerTimeout);
    bool taken = answer.status == accepted || answer.status == holdsAlready;
    // One that was sent and not answered may be carried out yet.
    bool mayBeTaken = taken || answer.failed == call_failure::Broken || answer.failed == call_failure::Stalled;
    logEvent("order_given", { { "endpoint", order.endpointId }, { "stage", static_cast<int>(order.stage) }, { "fence", order.fence }, { "expected", order.expectedSequence }, { "status", answer.status }, { "taken", taken ? 1 : 0 } });
    co_return mayBeTaken;
}

void stage_order_client::give(const std::string& address, stage_order order, std::function<bool()> stillLeads, handler done)
{
    boost::asio::co_spawn(m_context, giveNow(address, std::move(order), std::move(stillLeads)), [done = std::move(done)](std::exception_ptr broken, bool taken) {
        done(!broken && taken);
    });
}

} // namespace pistachiolatch
