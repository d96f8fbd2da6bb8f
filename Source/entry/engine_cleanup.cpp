#include "entry/engine_cleanup.h"

#include <boost/asio.hpp>

namespace pistachiolatch {

namespace {
    constexpr milliseconds initialRetryDelay { 50 };
    constexpr milliseconds maxRetryDelay { 1000 };
    /// An endpoint silent for longer has been removed from every pool; the scheduler's orphan collector frees its requests when
    /// it returns.
    constexpr milliseconds cancelRetryTimeout { 10000 };

    task_of<void> cancelUntilConfirmed(entry_context& context, std::string address, std::string tag)
    {
        background_work work(context);
        http_json_endpoint engine(address, context.settings.timeouts);
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
        auto deadline = context.clock.now() + cancelRetryTimeout;
        for (auto delay = initialRetryDelay; context.clock.now() < deadline; delay = std::min(delay * 2, maxRetryDelay)) {
            bool confirmed = co_await engine.cancel(tag);
            if (confirmed) {
                context.counters.count("cancel_confirmed");
                co_return;
            }
            context.counters.count("cancel_retried");
            timer.expires_after(delay);
            co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        context.counters.count("cancel_given_up");
    }
}

engine_request_guard::engine_request_guard(entry_context& context, boost::asio::any_io_executor executor, std::string address, std::string tag)
    : m_context(context)
    , m_executor(std::move(executor))
    , m_address(std::move(address))
    , m_tag(std::move(tag))
{
}

engine_request_guard::~engine_request_guard()
{
    if (!m_released)
        boost::asio::co_spawn(m_executor, cancelUntilConfirmed(m_context, m_address, m_tag), boost::asio::detached);
}

task_of<limit_result> acquireTokens(entry_context& context, const std::string& organisation, std::uint64_t tokens)
{
    pending_reply<limit_result> pending(co_await boost::asio::this_coro::executor);
    context.loop.post([&context, organisation, tokens, complete = pending.completer()] {
        context.node.limits().acquire(organisation, tokens, complete);
    });
    // The client has its own deadline; this timeout only guards against a missing reply.
    constexpr milliseconds replyTimeout { 60000 };
    auto result = co_await pending.wait(replyTimeout);
    co_return result.value_or(limit_result { false, reason::LimitUnreachable, milliseconds(1000) });
}

namespace {
    /// Withdraws a placement request if the coroutine that waits for it ends without a reply.
    class placement_request_guard {
    public:
        placement_request_guard(entry_context& context, std::string requestId)
            : m_context(context)
            , m_requestId(std::move(requestId))
        {
        }
        ~placement_request_guard()
        {
            if (!m_completed)
                m_context.loop.post([&context = m_context, id = m_requestId] { context.node.placements().withdraw(id); });
        }
        placement_request_guard(const placement_request_guard&) = delete;
        placement_request_guard& operator=(const placement_request_guard&) = delete;
        void complete() { m_completed = true; }

    private:
        entry_context& m_context;
        std::string m_requestId;
        bool m_completed = false;
    };
}

task_of<wire::placement> acquirePlacement(entry_context& context, wire::place_request request)
{
    placement_request_guard requestGuard(context, request.request_id());
    pending_reply<wire::placement> pending(co_await boost::asio::this_coro::executor);
    auto complete = pending.completer();
    context.loop.post([&context, request, complete] { context.node.placements().requestPlacement(request, complete); });
    constexpr milliseconds replyTimeout { 660000 };
    auto placement = co_await pending.wait(replyTimeout);
    if (!placement) {
        wire::placement refusal;
        refusal.set_refused(std::string(reasonName(reason::NoScheduler)));
        co_return refusal;
    }
    requestGuard.complete();
    co_return *placement;
}

void reportProgress(entry_context& context, wire::progress report)
{
    context.loop.post([&context, report = std::move(report)] { context.node.placements().reportProgress(report); });
}

} // namespace pistachiolatch
