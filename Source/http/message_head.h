#pragma once
#include "http/http_exchange.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <optional>
#include <string_view>

namespace pistachiolatch {

/// The longest header, trailer or chunk header that is read. The HTTP library throws out of its event handler, which ends the
/// process, if a field exceeds 64 KB.
constexpr std::size_t maxFieldBytes = 60UL * 1024;

/// Whether the bytes contain the whole head of a message, or a line of it that ends in a bare line feed.
bool isHeadComplete(std::string_view bytes);
/// Why another reader could take the head, or the end of the body, for something else than the HTTP library does; nothing if it could not.
/// The library unfolds lines, and reads a body whose transfer coding it doesn't know as empty, so that the body would be run as
/// the next request. Precondition: isHeadComplete(). Thread safety: any thread.
std::optional<reason> findFramingFault(std::string_view bytes);

/// Reads until isHeadComplete(). A body must not be read into the buffer before its maximum size is set to maxFieldBytes. Errors: those of the stream, header_limit if the head has more bytes.
template <typename Stream>
task_of<boost::system::error_code> readHead(Stream& stream, boost::beast::flat_buffer& buffer, std::size_t limit)
{
    constexpr std::size_t blockSize = 4096;
    buffer.max_size(std::numeric_limits<std::size_t>::max());
    auto bytes = [&] { return std::string_view(static_cast<const char*>(buffer.data().data()), buffer.size()); };
    while (!isHeadComplete(bytes())) {
        if (buffer.size() > limit)
            co_return make_error_code(boost::beast::http::error::header_limit);
        auto block = buffer.prepare(blockSize);
        auto [error, count] = co_await stream.async_read_some(block, boost::asio::as_tuple(boost::asio::use_awaitable));
        buffer.commit(count);
        if (error)
            co_return error;
    }
    co_return boost::system::error_code();
}

} // namespace pistachiolatch
