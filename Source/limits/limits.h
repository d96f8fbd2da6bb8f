#pragma once
/// Fleet-wide rate limits of organisations and budgets of retries: one owner holds the buckets and grants tokens to the entries.
/// The only public header of this library.
#include "limits/entry_retry_share.h"
#include "limits/fallback_limiter.h"
#include "limits/grant_cache.h"
#include "limits/outage_backoff.h"
#include "limits/rate_limiter.h"
#include "limits/retry_ledger.h"
#include "limits/retry_tolerance.h"
#include "limits/token_bucket.h"
