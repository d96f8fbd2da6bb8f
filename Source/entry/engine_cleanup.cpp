#include "entry/engine_cleanup.h"

#include <boost/asio.hpp>

namespace pistachiolatch {

namespace {
    constexpr milliseconds firstPause { 50 };
    constexpr milliseconds longestPause { 1000 };
    /// An endpoint silent for longer is out of every pool; the scheduler's orphan collector frees its requests when it returns.
    constexpr milliseconds cancelFor { 10000 };

    task_of<void> cancelUntilConfirmed(entry_context& context, std::string address, std::string tag)
    {
        background_work work(context);
        http_json_endpoint engine(address, context.settings.timeouts);
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
        auto deadline = context.clock.now() + cancelFor;
        for (auto pause = firstPause; context.clock.now() < deadline; pause = std::min(pause * 2, longestPause)) {
            bool confirmed = co_await engine.cancel(tag);
            if (confirmed) {
                context.counters.count("cancel_confirmed");
                co_return;
            }
            context.counters.count("cancel_retried");
            timer.expires_after(pause);
            co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        context.counters.count("cancel_given_up");
    }
}

engine_hold::engine_hold(entry_context& context, boost::asio::any_io_executor executor, std::string address, std::string tag)
    : m_context(context)
    , m_executor(std::move(executor))
    , m_address(std::move(address))
    , m_tag(std::move(tag))
{
}

engine_hold::~engine_hold()
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
    // The client answers by itself; this bound only guards against its own fault.
    constexpr milliseconds guard { 60000 };
    auto result = co_await pending.wait(guard);
    co_return result.value_or(limit_result { false, reason::LimitUnreachable, milliseconds(1000) });
}

namespace {
    /// Withdraws a question for endpoints when the one who waits for it is gone.
    class question_hold {
    public:
        question_hold(entry_context& context, std::string requestId)
            : m_context(context)
            , m_requestId(std::move(requestId))
        {
        }
        ~question_hold()
        {
            if (!m_answered)
                m_context.loop.post([&context = m_context, id = m_requestId] { context.node.placements().withdraw(id); });
        }
        question_hold(const question_hold&) = delete;
        question_hold& operator=(const question_hold&) = delete;
        void answered() { m_answered = true; }

    private:
        entry_context& m_context;
        std::string m_requestId;
        bool m_answered = false;
    };
}

task_of<wire::placement> acquirePlacement(entry_context& context, wire::place_request request)
{
    question_hold hold(context, request.request_id());
    pending_reply<wire::placement> pending(co_await boost::asio::this_coro::executor);
    auto complete = pending.completer();
    context.loop.post([&context, request, complete] { context.node.placements().place(request, complete); });
    constexpr milliseconds guard { 660000 };
    auto placement = co_await pending.wait(guard);
    if (!placement) {
        wire::placement refusal;
        refusal.set_refused(std::string(reasonName(reason::NoScheduler)));
        co_return refusal;
    }
    hold.answered();
    co_return *placement;
}

void reportProgress(entry_context& context, wire::progress report)
{
    context.loop.post([&context, report = std::move(report)] { context.node.placements().progress(report); });
}

} // namespace pistachiolatch
