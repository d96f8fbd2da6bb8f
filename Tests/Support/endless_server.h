#pragma once
#include "kernel/kernel.h"
#include <array>
#include <boost/asio.hpp>
#include <string>
#include <thread>

namespace pistachiolatch::test {

/// A server that answers one connection with a text, and then sends another one again and again until the client closes.
class endless_server {
public:
    endless_server(std::string first, std::string repeated, milliseconds pause)
        : m_acceptor(m_context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_thread([this, first = std::move(first), repeated = std::move(repeated), pause] { serve(first, repeated, pause); })
    {
    }
    ~endless_server() { m_thread.join(); }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    std::string address() const { return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port()); }
    /// What the client, or the kernel, took. Precondition: the client has closed the connection.
    std::uint64_t takenBytes()
    {
        m_thread.join();
        m_thread = std::thread([] {});
        return m_taken;
    }

private:
    void serve(const std::string& first, const std::string& repeated, milliseconds pause)
    {
        auto socket = m_acceptor.accept();
        std::array<char, 4096> request {};
        boost::system::error_code error;
        socket.read_some(boost::asio::buffer(request), error);
        boost::asio::write(socket, boost::asio::buffer(first), error);
        while (!error) {
            m_taken += boost::asio::write(socket, boost::asio::buffer(repeated), error);
            if (pause > milliseconds(0))
                std::this_thread::sleep_for(pause);
        }
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint64_t m_taken = 0;
    std::thread m_thread;
};

} // namespace pistachiolatch::test
