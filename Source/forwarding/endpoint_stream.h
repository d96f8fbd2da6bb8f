#pragma once
#include "http/http.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <array>
#include <boost/asio/compose.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/beast/core/buffers_prefix.hpp>

namespace pistachiolatch {

/// Sets the options of a connection to an endpoint or between entries.
void configureEndpointSocket(boost::asio::ip::tcp::socket& socket);
/// Sends a length-prefixed message. Returns false if the connection fails.
task_of<bool> writeRelayMessage(boost::asio::ip::tcp::socket& socket, const google::protobuf::MessageLite& message);
/// Receives a length-prefixed message. Returns false if the connection fails or the message is malformed.
task_of<bool> readRelayMessage(boost::asio::ip::tcp::socket& socket, google::protobuf::MessageLite& message);

/// Size of the big-endian length in front of each frame that a relay sends. An empty frame tells that the endpoint closed
/// its connection in order; if the relay's connection ends without one, the endpoint's connection broke, or the relay did.
constexpr std::size_t frameLengthBytes = 4;
std::array<unsigned char, frameLengthBytes> encodeFrameLength(std::size_t length);
std::size_t decodeFrameLength(const std::array<unsigned char, frameLengthBytes>& bytes);

/// The bytes of a connection to an endpoint, direct or through another entry, whose frames are removed. The end of a
/// relayed connection is the same as that of a direct one: end of file if the endpoint closed it, else an error.
/// Satisfies Asio's AsyncReadStream and AsyncWriteStream. Used on one thread, with one read at a time.
class endpoint_stream {
public:
    using executor_type = boost::asio::ip::tcp::socket::executor_type;

    explicit endpoint_stream(const boost::asio::any_io_executor& executor)
        : m_socket(executor)
    {
    }

    executor_type get_executor() { return m_socket.get_executor(); }
    boost::asio::ip::tcp::socket& socket() { return m_socket; }
    /// Takes what is received from now on as frames.
    void startFrames() { m_framed = true; }

    /// Whether a frame's length comes next.
    bool isBetweenFrames() const { return m_framed && m_frameBytesLeft == 0 && m_lengthBytesRead == 0; }

    template <typename Buffers, typename Token>
    auto async_read_some(const Buffers& buffers, Token&& token)
    {
        return boost::asio::async_compose<Token, void(boost::system::error_code, std::size_t)>(read_operation<Buffers> { *this, buffers }, token, m_socket);
    }

    template <typename Buffers, typename Token>
    auto async_write_some(const Buffers& buffers, Token&& token)
    {
        return m_socket.async_write_some(buffers, std::forward<Token>(token));
    }

private:
    template <typename Buffers>
    struct read_operation {
        enum class step { Start,
            Direct,
            FrameLength,
            FrameBytes };
        endpoint_stream& stream;
        Buffers buffers;
        step current = step::Start;

        template <typename Self>
        void operator()(Self& self, boost::system::error_code error = {}, std::size_t count = 0)
        {
            // Without an empty frame before it, the end of the connection is no end of the endpoint's data.
            if (current != step::Direct && error == boost::asio::error::eof)
                error = boost::asio::error::connection_reset;
            switch (current) {
            case step::Start:
                if (!stream.m_framed) {
                    current = step::Direct;
                    stream.m_socket.async_read_some(buffers, std::move(self));
                    return;
                }
                if (stream.m_frameBytesLeft == 0) {
                    readFrameLength(self);
                    return;
                }
                readFrame(self);
                return;
            case step::FrameLength:
                stream.m_lengthBytesRead += count;
                if (!error && stream.m_lengthBytesRead < frameLengthBytes) {
                    readFrameLength(self);
                    return;
                }
                if (error) {
                    self.complete(error, 0);
                    return;
                }
                stream.m_lengthBytesRead = 0;
                stream.m_frameBytesLeft = decodeFrameLength(stream.m_frameLength);
                if (stream.m_frameBytesLeft == 0) {
                    self.complete(boost::asio::error::eof, 0);
                    return;
                }
                readFrame(self);
                return;
            case step::FrameBytes:
                stream.m_frameBytesLeft -= count;
                [[fallthrough]];
            case step::Direct:
                self.complete(error, count);
                return;
            }
        }

        template <typename Self>
        void readFrameLength(Self& self)
        {
            current = step::FrameLength;
            stream.m_socket.async_read_some(boost::asio::buffer(stream.m_frameLength) + stream.m_lengthBytesRead, std::move(self));
        }

        template <typename Self>
        void readFrame(Self& self)
        {
            current = step::FrameBytes;
            stream.m_socket.async_read_some(boost::beast::buffers_prefix(stream.m_frameBytesLeft, buffers), std::move(self));
        }
    };

    boost::asio::ip::tcp::socket m_socket;
    bool m_framed = false;
    std::size_t m_frameBytesLeft = 0;
    /// Bytes of the next frame's length that were read, which a cancelled read must not lose.
    std::size_t m_lengthBytesRead = 0;
    std::array<unsigned char, frameLengthBytes> m_frameLength {};
};

} // namespace pistachiolatch
