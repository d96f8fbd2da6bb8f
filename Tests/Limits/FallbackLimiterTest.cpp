// Guards against a fleet of hundreds of entries that refuses callers within their limits whenever it has no leader.
#include "limits/limits.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
constexpr unsigned entryCount = 195;
constexpr double rate = 36'000;
constexpr double fallbackTokens = 18'000;
/// What all entries may grant at once beyond the rate.
constexpr double burst = fallbackTokens + rate / 4;

/// The limits of an organisation at all entries, without an owner.
class fallback_fleet {
public:
    explicit fallback_fleet(unsigned entries = entryCount, std::uint64_t seed = 7)
        : m_random(seed)
    {
        for (unsigned i = 0; i < entries; ++i)
            m_entries.emplace_back(seed * 1000 + i);
    }

    /// Sends calls to random entries for the given time. Returns the tokens granted.
    double send(double callsPerSecond, std::uint64_t tokens, std::chrono::milliseconds time)
    {
        double granted = 0;
        auto calls = static_cast<unsigned>(callsPerSecond * std::chrono::duration<double>(time).count());
        for (unsigned i = 0; i < calls; ++i) {
            clock.advance(std::chrono::duration_cast<duration>(time) / calls);
            auto entries = static_cast<double>(m_entries.size());
            auto& entry = m_entries[m_random() % m_entries.size()];
            if (entry.tryTake("org", rate / entries, burst / entries, tokens, clock.now()))
                granted += static_cast<double>(tokens);
        }
        return granted;
    }

    manual_clock_source clock;

private:
    std::mt19937_64 m_random;
    std::vector<fallback_limiter> m_entries;
};
}

TEST_CASE("Small calls are granted although an entry's share is smaller than one call")
{
    constexpr std::uint64_t tokens = 200;
    REQUIRE(burst / entryCount < tokens);
    fallback_fleet fleet;
    double sent = 30;
    CHECK(fleet.send(sent, tokens, std::chrono::seconds(1)) > 0.5 * sent * tokens);
}

TEST_CASE("All entries together grant no more than the limit on average, whatever the size of the calls")
{
    for (std::uint64_t tokens : { 200U, 3000U, 14'000U }) {
        double granted = 0;
        constexpr int fleets = 20;
        for (int i = 0; i < fleets; ++i) {
            fallback_fleet fleet;
            granted += fleet.send(10 * rate / static_cast<double>(tokens), tokens, std::chrono::seconds(4)) / fleets;
        }
        CHECK(granted < 1.05 * (burst + 4 * rate));
    }
}

// Guards against an organisation that exceeds its limit while owners change: a few entries that each grant one large call by
// chance spend several times their shares.
TEST_CASE("No fleet grants much more than the limit, however few its entries and large the calls")
{
    for (unsigned entries : { 7U, 40U, 195U }) {
        for (std::uint64_t tokens : { 200U, 3000U, 14'000U }) {
            for (std::uint64_t seed = 1; seed <= 50; ++seed) {
                fallback_fleet fleet(entries, seed);
                CHECK(fleet.send(10 * rate / static_cast<double>(tokens), tokens, std::chrono::seconds(1)) <= 1.1 * (burst + rate));
            }
        }
    }
}

TEST_CASE("A share that covers a call grants it and keeps the rest")
{
    manual_clock_source clock;
    fallback_limiter limiter(1);
    CHECK(limiter.tryTake("org", 100, 1000, 600, clock.now()));
    CHECK(limiter.tryTake("org", 100, 1000, 400, clock.now()));
    CHECK_FALSE(limiter.tryTake("org", 100, 1000, 400, clock.now()));
    clock.advance(std::chrono::seconds(4));
    CHECK(limiter.tryTake("org", 100, 1000, 400, clock.now()));
    CHECK(limiter.tryTake("other", 100, 1000, 1000, clock.now()));
}
