#pragma once
#include "entry/entry_context.h"
#include <boost/asio/any_io_executor.hpp>

namespace pistachiolatch {

/// What one attempt holds at an endpoint. Unless released, everything under its tag is cancelled there until the
/// endpoint confirms it, whatever way the attempt ends: a failure, or a caller that left in the middle.
class engine_hold {
public:
    engine_hold(entry_context& context, boost::asio::any_io_executor executor, std::string address, std::string tag);
    ~engine_hold();
    engine_hold(const engine_hold&) = delete;
    engine_hold& operator=(const engine_hold&) = delete;

    /// The endpoint holds nothing for the attempt any more.
    void release() { m_released = true; }

private:
    entry_context& m_context;
    boost::asio::any_io_executor m_executor;
    std::string m_address;
    std::string m_tag;
    bool m_released = false;
};

/// The end of an attempt's booking at the pool's owner. Reported once, however the attempt ends.
class booking_hold {
public:
    booking_hold(entry_context& context, wire::progress report)
        : m_context(context)
        , m_report(std::move(report))
    {
    }
    ~booking_hold() { reportProgress(m_context, m_report); }
    booking_hold(const booking_hold&) = delete;
    booking_hold& operator=(const booking_hold&) = delete;

    /// What will be reported at the end.
    wire::progress& report() { return m_report; }

private:
    entry_context& m_context;
    wire::progress m_report;
};

} // namespace pistachiolatch
