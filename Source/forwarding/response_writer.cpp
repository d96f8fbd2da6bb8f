#include "forwarding/response_writer.h"

#include <array>
#include <boost/beast/core/string.hpp>

namespace pistachiolatch {

namespace {
    constexpr std::array hopByHopFields { "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length" };
}

bool isHopByHop(std::string_view name)
{
    for (const auto* fieldName : hopByHopFields) {
        if (boost::beast::iequals({ name.data(), name.size() }, fieldName))
            return true;
    }
    return false;
}

std::string encodeResponseHead(unsigned status, std::string_view reasonPhrase, const header_fields& fields, const response_framing& framing)
{
    auto head = fmt::format("HTTP/1.1 {} {}\r\n", status, reasonPhrase);
    for (const auto& field : fields) {
        std::string_view name(field.name_string().data(), field.name_string().size());
        if (isHopByHop(name))
            continue;
        head.append(name).append(": ").append(field.value().data(), field.value().size()).append("\r\n");
    }
    if (framing.length)
        head += fmt::format("Content-Length: {}\r\n", *framing.length);
    else
        head += "Transfer-Encoding: chunked\r\n";
    if (framing.closeConnection)
        head += "Connection: close\r\n";
    head += "\r\n";
    return head;
}

std::string encodeChunk(std::string_view data)
{
    if (data.empty())
        return "0\r\n\r\n";
    auto chunk = fmt::format("{:x}\r\n", data.size());
    chunk.append(data).append("\r\n");
    return chunk;
}

} // namespace pistachiolatch
