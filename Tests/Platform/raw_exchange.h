#pragma once
#include "http/http.h"
#include <boost/asio.hpp>
#include <string>

namespace pistachiolatch::test {

/// Sends bytes on a new connection and returns what arrives until the peer closes it. Throws if the peer closes it before it has taken all
/// of them, unless it may.
inline std::string exchangeBytes(const std::string& address, const std::string& bytes, bool mayCloseEarly = false)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(parseAddress(address));
    boost::system::error_code untilClosed;
    boost::asio::write(socket, boost::asio::buffer(bytes), untilClosed);
    if (untilClosed && !mayCloseEarly)
        throw boost::system::system_error(untilClosed);
    std::string received;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), untilClosed);
    return received;
}

} // namespace pistachiolatch::test
