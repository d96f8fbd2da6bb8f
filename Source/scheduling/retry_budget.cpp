#include "scheduling/retry_budget.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    constexpr double retriesPerSuccess = 0.2;
    constexpr double mostTokens = 20;
}

void retry_budget::onSuccess()
{
    m_tokens = std::min(mostTokens, m_tokens + retriesPerSuccess);
}

bool retry_budget::tryRetry()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace pistachiolatch
