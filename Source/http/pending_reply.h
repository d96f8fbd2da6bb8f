#pragma once
#include "http/http_exchange.h"
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace pistachiolatch {

/// Future that a coroutine on a traffic thread awaits and any other thread completes.
template <typename T>
class pending_reply {
public:
    explicit pending_reply(const boost::asio::any_io_executor& executor)
        : m_state(std::make_shared<shared_state>(executor))
    {
    }

    /// Returns a function that sets the value; only the first call has an effect. Thread safety: the function may be called
    /// from any thread, at any time.
    std::function<void(T)> completer() const
    {
        return [state = m_state](T value) {
            boost::asio::post(state->timer.get_executor(), [state, value = std::move(value)]() mutable {
                if (state->value)
                    return;
                state->value = std::move(value);
                state->timer.cancel();
            });
        };
    }

    /// Waits for the value; returns nothing on timeout. Precondition: called on the executor's thread.
    task_of<std::optional<T>> wait(milliseconds timeout)
    {
        auto state = m_state;
        if (!state->value) {
            state->timer.expires_after(timeout);
            boost::system::error_code ignored;
            co_await state->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        co_return state->value;
    }

private:
    struct shared_state {
        explicit shared_state(const boost::asio::any_io_executor& executor)
            : timer(executor)
        {
        }
        boost::asio::steady_timer timer;
        std::optional<T> value;
    };
    std::shared_ptr<shared_state> m_state;
};

} // namespace pistachiolatch
