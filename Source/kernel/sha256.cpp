#include "kernel/sha256.h"

#include <array>
#include <cstdlib>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <vector>

namespace pistachiolatch {

namespace {
    std::string toHex(const unsigned char* data, std::size_t size)
    {
        std::string hex;
        hex.reserve(size * 2);
        for (std::size_t i = 0; i < size; ++i)
            fmt::format_to(std::back_inserter(hex), "{:02x}", data[i]);
        return hex;
    }
}

std::string sha256Hex(std::string_view input)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> data(bytes);
    // Predictable keys or incarnations would compromise every identity, so the process must not continue.
    if (RAND_bytes(data.data(), static_cast<int>(bytes)) != 1)
        std::abort();
    return toHex(data.data(), data.size());
}

} // namespace pistachiolatch
