#include "http/traffic_threads.h"

namespace pistachiolatch {

traffic_threads::traffic_threads(unsigned count)
{
    for (unsigned i = 0; i < count; ++i) {
        m_contexts.push_back(std::make_unique<boost::asio::io_context>(1));
        m_guards.emplace_back(boost::asio::make_work_guard(*m_contexts.back()));
    }
}

traffic_threads::~traffic_threads()
{
    stop();
}

void traffic_threads::start()
{
    for (auto& context : m_contexts)
        m_threads.emplace_back([&context] { context->run(); });
}

void traffic_threads::stop()
{
    for (auto& context : m_contexts)
        context->stop();
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
}

boost::asio::io_context& traffic_threads::next()
{
    return *m_contexts[m_next++ % m_contexts.size()];
}

} // namespace pistachiolatch
