#pragma once
#include <string>
#include <string_view>

namespace pistachiolatch {

/// Returns the SHA-256 digest of the input as 64 lower-case hexadecimal digits. Thread safety: any thread.
std::string sha256Hex(std::string_view input);

/// Compares two strings in constant time, to prevent timing attacks. Thread safety: any thread.
bool equalConstantTime(std::string_view left, std::string_view right);

/// Returns cryptographically secure random bytes, encoded as two hexadecimal digits per byte. Aborts the process if none
/// are available. Thread safety: any thread.
std::string randomHex(std::size_t bytes);

} // namespace pistachiolatch
