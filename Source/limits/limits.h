#pragma once
/// Rate and burst of an organisation over the whole fleet: one owner of the bucket, grants to the entries.
/// This is the library's one public header.
#include "limits/grant_cache.h"
#include "limits/rate_limiter.h"
#include "limits/token_bucket.h"
