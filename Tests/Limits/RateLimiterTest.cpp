#include "limits/limits.h"
#include "records/records.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace pistachiolatch;

namespace {
constexpr std::uint64_t rate = 1000;
constexpr std::uint64_t burst = 3000;

struct spent {
    time_point at;
    std::uint64_t tokens;
};

/// The most that any window saw above rate x length + burst.
double worstExcess(const std::vector<spent>& spending)
{
    double worst = -1e18;
    for (std::size_t i = 0; i < spending.size(); ++i) {
        double total = 0;
        for (std::size_t j = i; j < spending.size(); ++j) {
            total += static_cast<double>(spending[j].tokens);
            auto seconds = std::chrono::duration<double>(spending[j].at - spending[i].at).count();
            worst = std::max(worst, total - (seconds * rate + burst));
        }
    }
    return worst;
}
}

// An organisation sends several times its rate through several VMs. Grants travel, wait at entries and are used
// late; the owner dies and a new one starts. In no window may the fleet spend more than rate and burst.
TEST_CASE("No window sees more than rate and burst, over entries and owners", "[promise]")
{
    auto seed = GENERATE(1U, 2U, 3U, 4U);
    std::mt19937 random(seed);
    manual_clock_source clock;
    auto owner = std::make_unique<rate_limiter>(clock.now());
    owner->configure("alpha", rate, burst, clock.now());
    std::vector<grant_cache> entries(3);
    std::vector<spent> spending;
    std::map<std::uint64_t, std::pair<std::size_t, time_point>> asked;
    std::map<std::uint64_t, std::uint64_t> needs;
    std::uint64_t ticket = 0;
    for (int step = 0; step < 2000; ++step) {
        clock.advance(milliseconds(10));
        if (step % 500 == 250) {
            // The owner is lost and its lease runs out; the next one starts from nothing once old grants have ended.
            clock.advance(milliseconds(1750));
            owner = std::make_unique<rate_limiter>(clock.now() + limitGrantLifetime);
            owner->configure("alpha", rate, burst, clock.now());
            asked.clear();
        }
        auto at = random() % entries.size();
        std::uint64_t need = 20 + random() % 300;
        if (entries[at].tryConsume("alpha", need, clock.now())) {
            spending.push_back({ clock.now(), need });
        } else {
            asked[++ticket] = { at, clock.now() };
            needs[ticket] = need;
            owner->submit({ "alpha", need, entries[at].estimateDemand("alpha", clock.now()), milliseconds(300), ticket }, clock.now());
        }
        for (const auto& verdict : owner->collectDecisions(clock.now())) {
            auto question = asked.extract(verdict.ticket);
            if (question.empty() || verdict.granted == 0)
                continue;
            entries[question.mapped().first].store("alpha", verdict.granted - needs[verdict.ticket], question.mapped().second, limitGrantLifetime);
            spending.push_back({ clock.now(), needs[verdict.ticket] });
        }
        for (auto& entry : entries) {
            for (const auto& back : entry.removeExpired(clock.now()))
                owner->refund("alpha", back.tokens, clock.now());
        }
    }
    CHECK(worstExcess(spending) <= 1.0);
    // And it is no starvation either: most of what the rate allows was spent.
    std::uint64_t total = 0;
    for (const auto& one : spending)
        total += one.tokens;
    CHECK(total > 20 * rate * 8 / 10);
}

// A large request waits for tokens while small ones of other VMs keep coming. Served in the order they came, it
// is not starved.
TEST_CASE("A large request is not starved by small ones")
{
    manual_clock_source clock;
    rate_limiter owner(clock.now());
    owner.configure("alpha", rate, burst, clock.now());
    owner.submit({ "alpha", 1500, 0, milliseconds(3000), 1 }, clock.now());
    bool granted = false;
    for (std::uint64_t step = 2; step < 300 && !granted; ++step) {
        clock.advance(milliseconds(10));
        owner.submit({ "alpha", 50, 0, milliseconds(2000), step }, clock.now());
        for (const auto& verdict : owner.collectDecisions(clock.now()))
            granted = granted || (verdict.ticket == 1 && verdict.granted == 1500);
    }
    CHECK(granted);
}

// Callers see: lookups and bookings refused as over the rate, while the organisation's reports are served.
// Order: large calls come at twice the rate and take all that the bucket gets; each small one finds it empty, or waits
// behind large ones for longer than its caller is content with.
// Why: small ones cost next to nothing; large ones leave them a part of the bucket, and still get at least half of the rate.
TEST_CASE("Small requests of an organisation are not starved by its large ones")
{
    constexpr std::uint64_t wide = 50'000;
    constexpr std::uint64_t large = 5600;
    constexpr std::uint64_t small = 200;
    manual_clock_source clock;
    rate_limiter owner(clock.now());
    owner.configure("alpha", wide, 2 * wide, clock.now(), 2 * wide);
    std::uint64_t ticket = 0;
    std::map<std::uint64_t, bool> isLarge;
    int smallAsked = 0;
    int smallGranted = 0;
    int largeGranted = 0;
    for (int ms = 0; ms < 20000; ms += 10) {
        clock.advance(milliseconds(10));
        if (ms % 50 == 0) {
            isLarge[++ticket] = true;
            owner.submit({ "alpha", large, 0, milliseconds(300), ticket }, clock.now());
        }
        if (ms % 100 == 0) {
            isLarge[++ticket] = false;
            ++smallAsked;
            owner.submit({ "alpha", small, 0, milliseconds(50), ticket }, clock.now());
        }
        for (const auto& verdict : owner.collectDecisions(clock.now())) {
            if (verdict.granted > 0)
                ++(isLarge[verdict.ticket] ? largeGranted : smallGranted);
        }
    }
    CHECK(smallGranted == smallAsked);
    // What is left of the rate goes to large ones.
    auto left = (20 * wide - static_cast<std::uint64_t>(smallAsked) * small) / large;
    CHECK(static_cast<std::uint64_t>(largeGranted) > left * 95 / 100);
}

TEST_CASE("Large requests get at least half of the rate however many small ones come")
{
    constexpr std::uint64_t wide = 50'000;
    manual_clock_source clock;
    rate_limiter owner(clock.now());
    owner.configure("alpha", wide, 2 * wide, clock.now(), 2 * wide);
    std::uint64_t ticket = 0;
    std::uint64_t largeTokens = 0;
    for (int ms = 0; ms < 20000; ms += 10) {
        clock.advance(milliseconds(10));
        if (ms % 50 == 0)
            owner.submit({ "alpha", 5600, 0, milliseconds(1000), ++ticket }, clock.now());
        for (int i = 0; i < 10; ++i)
            owner.submit({ "alpha", 200, 0, milliseconds(50), ++ticket }, clock.now());
        for (const auto& verdict : owner.collectDecisions(clock.now()))
            largeTokens += verdict.granted == 5600 ? verdict.granted : 0;
    }
    CHECK(largeTokens > 20 * wide * 4 / 10);
}

TEST_CASE("A refusal tells truly when to come back")
{
    manual_clock_source clock;
    rate_limiter owner(clock.now());
    owner.configure("alpha", rate, burst, clock.now());
    owner.submit({ "alpha", 1000, 0, milliseconds(100), 1 }, clock.now());
    auto refused = owner.collectDecisions(clock.now());
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].granted == 0);
    CHECK(refused[0].retryAfter == milliseconds(1000));
    clock.advance(refused[0].retryAfter);
    owner.submit({ "alpha", 1000, 0, milliseconds(0), 2 }, clock.now());
    auto granted = owner.collectDecisions(clock.now());
    REQUIRE(granted.size() == 1);
    CHECK(granted[0].granted == 1000);
}
