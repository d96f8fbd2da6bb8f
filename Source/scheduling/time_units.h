#pragma once
#include "kernel/kernel.h"

namespace pistachiolatch {

/// Time in milliseconds with fractions, for estimates. Thread safety: any thread.
inline double toMs(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// The time of that many milliseconds. Thread safety: any thread.
inline duration fromMs(double ms)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace pistachiolatch
