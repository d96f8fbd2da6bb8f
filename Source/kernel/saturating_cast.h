#pragma once
#include <cmath>
#include <concepts>
#include <limits>
#include <utility>

namespace pistachiolatch {

/// Converts a number to an integer type. A number beyond the range of the type becomes the nearest limit, a fraction is cut off, and
/// what is no number becomes 0. Thread safety: any thread.
template <std::integral To, typename From>
requires std::integral<From> || std::floating_point<From>
constexpr To saturatingCast(From value)
{
    using limits = std::numeric_limits<To>;
    if constexpr (std::integral<From>) {
        if (std::cmp_less(value, limits::min()))
            return limits::min();
        return std::cmp_greater(value, limits::max()) ? limits::max() : static_cast<To>(value);
    } else {
        if (std::isnan(value))
            return 0;
        // The limits of 64-bit types have no exact floating-point value; the next power of two has.
        if (value >= std::ldexp(From(1), limits::digits))
            return limits::max();
        return value <= static_cast<From>(limits::min()) ? limits::min() : static_cast<To>(value);
    }
}

} // namespace pistachiolatch
