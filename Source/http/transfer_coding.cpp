#include "http/transfer_coding.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace pistachiolatch {

bool hasUnknownTransferCoding(const boost::beast::http::fields& header)
{
    auto [begin, end] = header.equal_range(boost::beast::http::field::transfer_encoding);
    return std::any_of(begin, end, [](const auto& field) { return !boost::beast::iequals(field.value(), "chunked"); });
}

} // namespace pistachiolatch
