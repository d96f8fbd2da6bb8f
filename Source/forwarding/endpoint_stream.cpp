#include "forwarding/endpoint_stream.h"

#include <boost/asio.hpp>

namespace pistachiolatch {

namespace asio = boost::asio;

namespace {
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    /// Far more than any message that opens a connection.
    constexpr std::size_t maxMessageBytes = 4096;
}

void configureEndpointSocket(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

std::array<unsigned char, frameLengthBytes> encodeFrameLength(std::size_t length)
{
    std::array<unsigned char, frameLengthBytes> bytes {};
    for (std::size_t i = 0; i < frameLengthBytes; ++i)
        bytes[i] = static_cast<unsigned char>(length >> 8 * (frameLengthBytes - 1 - i));
    return bytes;
}

std::size_t decodeFrameLength(const std::array<unsigned char, frameLengthBytes>& bytes)
{
    std::size_t length = 0;
    for (auto byte : bytes)
        length = length << 8 | byte;
    return length;
}

task_of<bool> writeRelayMessage(asio::ip::tcp::socket& socket, const google::protobuf::MessageLite& message)
{
    auto body = message.SerializeAsString();
    auto length = encodeFrameLength(body.size());
    body.insert(body.begin(), length.begin(), length.end());
    auto [error, count] = co_await asio::async_write(socket, asio::buffer(body), asTuple);
    co_return !error;
}

task_of<bool> readRelayMessage(asio::ip::tcp::socket& socket, google::protobuf::MessageLite& message)
{
    std::array<unsigned char, frameLengthBytes> length {};
    auto [lengthError, lengthCount] = co_await asio::async_read(socket, asio::buffer(length), asTuple);
    auto size = decodeFrameLength(length);
    if (lengthError || size > maxMessageBytes)
        co_return false;
    std::string body(size, '\0');
    auto [error, count] = co_await asio::async_read(socket, asio::buffer(body), asTuple);
    co_return !error && message.ParseFromString(body);
}

} // namespace pistachiolatch
