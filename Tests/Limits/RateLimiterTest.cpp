#include "limits/limits.h"
#include "records/records.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

using namespace pistachiolatch;

namespace {
constexpr std::uint64_t rate = 1000;
constexpr std::uint64_t burst = 3000;

struct consumption {
    time_point at;
    std::uint64_t tokens;
};

/// Largest excess of tokens used in any time window over rate * length + burst.
double maxExcess(const std::vector<consumption>& consumed)
{
    double excess = -1e18;
    for (std::size_t i = 0; i < consumed.size(); ++i) {
        double total = 0;
        for (std::size_t j = i; j < consumed.size(); ++j) {
            total += static_cast<double>(consumed[j].tokens);
            auto seconds = std::chrono::duration<double>(consumed[j].at - consumed[i].at).count();
            excess = std::max(excess, total - (seconds * rate + burst));
        }
    }
    return excess;
}
}

// An organisation sends several times its rate through several VMs. Entries cache grants and use them late, and the
// owner fails and is replaced. The fleet must not exceed rate and burst in any time window.
TEST_CASE("Usage stays within rate and burst in every window across entries and changes of owner", "[promise]")
{
    auto seed = GENERATE(1U, 2U, 3U, 4U);
    std::mt19937 random(seed);
    manual_clock_source clock;
    auto limiter = std::make_unique<rate_limiter>(clock.now());
    limiter->configure("alpha", rate, burst, clock.now());
    std::vector<grant_cache> entries(3);
    std::vector<consumption> consumed;
    std::map<std::uint64_t, std::pair<std::size_t, time_point>> pending;
    std::map<std::uint64_t, std::uint64_t> requestedTokens;
    std::uint64_t ticket = 0;
    for (int step = 0; step < 2000; ++step) {
        clock.advance(milliseconds(10));
        if (step % 500 == 250) {
            // The owner fails and its lease expires; its successor starts with empty buckets after all old grants
            // expired.
            clock.advance(milliseconds(1750));
            limiter = std::make_unique<rate_limiter>(clock.now() + limitGrantLifetime);
            limiter->configure("alpha", rate, burst, clock.now());
            pending.clear();
        }
        auto index = random() % entries.size();
        std::uint64_t tokens = 20 + random() % 300;
        if (entries[index].tryConsume("alpha", tokens, clock.now())) {
            consumed.push_back({ clock.now(), tokens });
        } else {
            pending[++ticket] = { index, clock.now() };
            requestedTokens[ticket] = tokens;
            limiter->submit({ "alpha", tokens, entries[index].estimateDemand("alpha", clock.now()), milliseconds(300), ticket }, clock.now());
        }
        for (const auto& decision : limiter->collectDecisions(clock.now())) {
            auto request = pending.extract(decision.ticket);
            if (request.empty() || decision.granted == 0)
                continue;
            entries[request.mapped().first].store("alpha", decision.granted - requestedTokens[decision.ticket], request.mapped().second, limitGrantLifetime);
            consumed.push_back({ clock.now(), requestedTokens[decision.ticket] });
        }
        for (auto& entry : entries) {
            for (const auto& unused : entry.removeExpired(clock.now()))
                limiter->refund("alpha", unused.tokens, clock.now());
        }
    }
    CHECK(maxExcess(consumed) <= 1.0);
    // Most of what the rate allows must be usable.
    std::uint64_t total = 0;
    for (const auto& item : consumed)
        total += item.tokens;
    CHECK(total > 20 * rate * 8 / 10);
}

// A large request waits for tokens while small ones from other VMs keep arriving. Serving requests in arrival order
// prevents starvation.
TEST_CASE("Small requests do not starve a large one")
{
    manual_clock_source clock;
    rate_limiter limiter(clock.now());
    limiter.configure("alpha", rate, burst, clock.now());
    limiter.submit({ "alpha", 1500, 0, milliseconds(3000), 1 }, clock.now());
    bool granted = false;
    for (std::uint64_t step = 2; step < 300 && !granted; ++step) {
        clock.advance(milliseconds(10));
        limiter.submit({ "alpha", 50, 0, milliseconds(2000), step }, clock.now());
        for (const auto& decision : limiter.collectDecisions(clock.now()))
            granted = granted || (decision.ticket == 1 && decision.granted == 1500);
    }
    CHECK(granted);
}

// Guards against refusing cheap calls, such as lookups and bookings, as over the rate while expensive ones, such as
// reports, are served. Large requests arrive at twice the rate and use up every refill, so a small one finds the bucket
// empty or is queued behind large ones past its maximum wait. Large requests must leave part of the bucket to small
// ones.
TEST_CASE("Large requests do not starve small ones of the same organisation")
{
    constexpr std::uint64_t highRate = 50'000;
    constexpr std::uint64_t large = 5600;
    constexpr std::uint64_t small = 200;
    manual_clock_source clock;
    rate_limiter limiter(clock.now());
    limiter.configure("alpha", highRate, 2 * highRate, clock.now(), 2 * highRate);
    std::uint64_t ticket = 0;
    std::map<std::uint64_t, bool> isLarge;
    int smallSubmitted = 0;
    int smallGranted = 0;
    int largeGranted = 0;
    for (int elapsedMs = 0; elapsedMs < 20000; elapsedMs += 10) {
        clock.advance(milliseconds(10));
        if (elapsedMs % 50 == 0) {
            isLarge[++ticket] = true;
            limiter.submit({ "alpha", large, 0, milliseconds(300), ticket }, clock.now());
        }
        if (elapsedMs % 100 == 0) {
            isLarge[++ticket] = false;
            ++smallSubmitted;
            limiter.submit({ "alpha", small, 0, milliseconds(50), ticket }, clock.now());
        }
        for (const auto& decision : limiter.collectDecisions(clock.now())) {
            if (decision.granted > 0)
                ++(isLarge[decision.ticket] ? largeGranted : smallGranted);
        }
    }
    CHECK(smallGranted == smallSubmitted);
    // Large requests get the rest of the rate.
    auto expectedLarge = (20 * highRate - static_cast<std::uint64_t>(smallSubmitted) * small) / large;
    CHECK(static_cast<std::uint64_t>(largeGranted) > expectedLarge * 95 / 100);
}

TEST_CASE("Large requests get at least half of the rate under any number of small ones")
{
    constexpr std::uint64_t highRate = 50'000;
    manual_clock_source clock;
    rate_limiter limiter(clock.now());
    limiter.configure("alpha", highRate, 2 * highRate, clock.now(), 2 * highRate);
    std::uint64_t ticket = 0;
    std::uint64_t largeTokens = 0;
    for (int elapsedMs = 0; elapsedMs < 20000; elapsedMs += 10) {
        clock.advance(milliseconds(10));
        if (elapsedMs % 50 == 0)
            limiter.submit({ "alpha", 5600, 0, milliseconds(1000), ++ticket }, clock.now());
        for (int i = 0; i < 10; ++i)
            limiter.submit({ "alpha", 200, 0, milliseconds(50), ++ticket }, clock.now());
        for (const auto& decision : limiter.collectDecisions(clock.now()))
            largeTokens += decision.granted == 5600 ? decision.granted : 0;
    }
    CHECK(largeTokens > 20 * highRate * 4 / 10);
}

TEST_CASE("A refusal reports when the tokens will be available")
{
    manual_clock_source clock;
    rate_limiter limiter(clock.now());
    limiter.configure("alpha", rate, burst, clock.now());
    limiter.submit({ "alpha", 1000, 0, milliseconds(100), 1 }, clock.now());
    auto refused = limiter.collectDecisions(clock.now());
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].granted == 0);
    CHECK(refused[0].retryAfter == milliseconds(1000));
    clock.advance(refused[0].retryAfter);
    limiter.submit({ "alpha", 1000, 0, milliseconds(0), 2 }, clock.now());
    auto granted = limiter.collectDecisions(clock.now());
    REQUIRE(granted.size() == 1);
    CHECK(granted[0].granted == 1000);
}

TEST_CASE("Usage stays within rate and burst in every window although unused tokens are returned late", "[promise]")
{
    auto seed = GENERATE(1U, 2U, 3U, 4U);
    std::mt19937 random(seed);
    manual_clock_source clock;
    rate_limiter limiter(clock.now());
    limiter.configure("alpha", rate, burst, clock.now());
    std::vector<consumption> consumed;
    std::vector<consumption> unused;
    for (std::uint64_t ticket = 1; ticket <= 2000; ++ticket) {
        limiter.submit({ "alpha", 20 + random() % 300, 0, milliseconds(random() % 300), ticket }, clock.now());
        clock.advance(milliseconds(10));
        for (const auto& decision : limiter.collectDecisions(clock.now())) {
            if (random() % 2 == 0)
                consumed.push_back({ clock.now(), decision.granted });
            else
                unused.push_back({ clock.now() + milliseconds(random() % 5000), decision.granted });
        }
        std::erase_if(unused, [&](const consumption& one) {
            bool isDue = one.at <= clock.now();
            if (isDue)
                limiter.refund("alpha", one.tokens, clock.now());
            return isDue;
        });
    }
    CHECK(maxExcess(consumed) <= 0);
}

// Guards against a crowd of new calls that uses up the rate before the streams that broke, so that these end unfinished.
TEST_CASE("Streams that are taken up again aren't refused behind the new calls of their organisation", "[promise]")
{
    manual_clock_source clock;
    rate_limiter limiter(clock.now());
    limiter.configure("alpha", rate, burst, clock.now());
    clock.advance(std::chrono::seconds(5));
    std::uint64_t ticket = 0;
    std::set<std::uint64_t> begun;
    std::vector<consumption> consumed;
    int begunGranted = 0;
    int newRefused = 0;
    for (int step = 0; step < 400; ++step) {
        // Ten times the rate in new calls, half of the rate in streams.
        limiter.submit({ "alpha", 100, 0, milliseconds(300), ++ticket }, clock.now());
        if (step >= 100 && step % 40 == 20) {
            begun.insert(++ticket);
            limiter.submit({ "alpha", 200, 0, milliseconds(300), ticket, true }, clock.now());
        }
        clock.advance(milliseconds(10));
        for (const auto& decision : limiter.collectDecisions(clock.now())) {
            consumed.push_back({ clock.now(), decision.granted });
            begunGranted += begun.count(decision.ticket) && decision.granted > 0 ? 1 : 0;
            newRefused += !begun.count(decision.ticket) && decision.granted == 0 ? 1 : 0;
        }
    }
    CHECK(newRefused > 100);
    CHECK(begun.size() == 8);
    CHECK(begunGranted == 8);
    CHECK(maxExcess(consumed) <= 0);
}
