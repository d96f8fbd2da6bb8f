#pragma once
#include <string>
#include <string_view>

namespace pistachiolatch {

/// Whether the bytes are well-formed UTF-8 without control characters. Empty text is. Thread safety: any thread.
bool isPlainText(std::string_view bytes);

/// The bytes as plain text for messages and log lines: control characters and bytes that aren't UTF-8 are written as \xNN. Longer
/// text is cut at `maxBytes` of its bytes and ends with "...". Plain text within the limit is returned unchanged.
/// Thread safety: any thread.
std::string toPlainText(std::string_view bytes, std::size_t maxBytes = std::string_view::npos);

/// A plain text that identifies the bytes: the bytes themselves if they are plain text of at most `maxBytes`, else their beginning
/// with a digest. Thread safety: any thread.
std::string toPlainIdentifier(std::string_view bytes, std::size_t maxBytes);

} // namespace pistachiolatch
