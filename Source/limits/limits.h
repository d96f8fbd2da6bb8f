#pragma once
/// Fleet-wide rate limits of organisations: one owner holds the buckets and grants tokens to the entries.
/// The only public header of this library.
#include "limits/fallback_limiter.h"
#include "limits/grant_cache.h"
#include "limits/rate_limiter.h"
#include "limits/token_bucket.h"
