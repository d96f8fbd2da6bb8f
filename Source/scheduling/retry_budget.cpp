#include "scheduling/retry_budget.h"

#include <algorithm>

namespace pistachiolatch {

void retry_budget::onSuccess()
{
    m_successes = std::min(maxSavedRetries * successesPerRetry, m_successes + 1);
}

bool retry_budget::tryRetry()
{
    if (m_successes < successesPerRetry)
        return false;
    m_successes -= successesPerRetry;
    return true;
}

} // namespace pistachiolatch
