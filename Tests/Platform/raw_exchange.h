#pragma once
#include "http/http.h"
#include <boost/asio.hpp>
#include <string>

namespace pistachiolatch::test {

/// Sends bytes on a new connection and returns what arrives until the peer closes it.
inline std::string exchangeBytes(const std::string& address, const std::string& bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(parseAddress(address));
    // A peer that refuses what it reads may close the connection before it has read everything.
    boost::system::error_code untilClosed;
    boost::asio::write(socket, boost::asio::buffer(bytes), untilClosed);
    std::string received;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), untilClosed);
    return received;
}

} // namespace pistachiolatch::test
