#pragma once
#include <boost/beast/http/fields.hpp>

namespace pistachiolatch {

/// Whether the header of a response names a transfer coding other than chunked, so that its body can't be read.
/// Thread safety: any thread.
bool hasUnknownTransferCoding(const boost::beast::http::fields& header);

} // namespace pistachiolatch
