#pragma once
#include "entry/entry_context.h"
#include <boost/asio/any_io_executor.hpp>

namespace pistachiolatch {

/// Frees what one attempt holds at an endpoint. Unless released, the destructor cancels everything under the tag and
/// retries until the endpoint confirms it. This covers failures as well as callers that disconnect.
class engine_request_guard {
public:
    engine_request_guard(entry_context& context, boost::asio::any_io_executor executor, std::string address, std::string tag);
    ~engine_request_guard();
    engine_request_guard(const engine_request_guard&) = delete;
    engine_request_guard& operator=(const engine_request_guard&) = delete;

    /// Skips the cancellation: the endpoint no longer holds anything for the attempt.
    void release() { m_released = true; }

private:
    entry_context& m_context;
    boost::asio::any_io_executor m_executor;
    std::string m_address;
    std::string m_tag;
    bool m_released = false;
};

/// Ends an attempt's reservation: reports the end to the pool's owner exactly once, however the attempt ends.
class reservation_guard {
public:
    reservation_guard(entry_context& context, wire::progress report)
        : m_context(context)
        , m_report(std::move(report))
    {
    }
    ~reservation_guard() { reportProgress(m_context, m_report); }
    reservation_guard(const reservation_guard&) = delete;
    reservation_guard& operator=(const reservation_guard&) = delete;

    /// The report that the destructor sends.
    wire::progress& report() { return m_report; }

private:
    entry_context& m_context;
    wire::progress m_report;
};

} // namespace pistachiolatch
