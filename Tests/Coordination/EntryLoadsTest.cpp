#include "coordination/entry_loads.h"
#include <catch2/catch.hpp>
#include <random>

using namespace pistachiolatch;

namespace {
entry_loads::loads loadsOf(const std::map<std::string, std::uint32_t>& requests)
{
    entry_loads::loads loads;
    for (const auto& [id, count] : requests) {
        auto& one = *loads.Add();
        one.set_id(id);
        one.set_requests(count);
        one.set_tokens(count * 100);
    }
    return loads;
}

std::map<std::string, std::uint32_t> othersOf(entry_loads& all, const std::string& entry)
{
    entry_loads::loads others;
    all.fillOthers(entry, others);
    std::map<std::string, std::uint32_t> requests;
    for (const auto& one : others) {
        CHECK(one.tokens() == one.requests() * 100);
        requests[one.id()] = one.requests();
    }
    return requests;
}
}

TEST_CASE("An entry receives the load of all other entries by endpoint")
{
    entry_loads all;
    all.replace("a", loadsOf({ { "d1", 2 }, { "d2", 1 } }));
    all.replace("b", loadsOf({ { "d1", 3 } }));
    CHECK(othersOf(all, "a") == std::map<std::string, std::uint32_t> { { "d1", 3 } });
    CHECK(othersOf(all, "b") == std::map<std::string, std::uint32_t> { { "d1", 2 }, { "d2", 1 } });
    CHECK(othersOf(all, "new") == std::map<std::string, std::uint32_t> { { "d1", 5 }, { "d2", 1 } });
    all.remove("a");
    CHECK(othersOf(all, "new") == std::map<std::string, std::uint32_t> { { "d1", 3 } });
    all.clear();
    CHECK(othersOf(all, "new").empty());
}

// Guards against sums that drift when entries report, restart and leave in any order: calls would avoid idle endpoints or
// overload busy ones.
TEST_CASE("Sums of loads always match the last reports")
{
    std::mt19937 random(GENERATE(1U, 2U, 3U));
    entry_loads all;
    std::map<std::string, std::map<std::string, std::uint32_t>> reports;
    for (int step = 0; step < 2000; ++step) {
        auto entry = "entry-" + std::to_string(random() % 6);
        if (random() % 10 == 0) {
            all.remove(entry);
            reports.erase(entry);
        } else {
            std::map<std::string, std::uint32_t> requests;
            for (auto count = random() % 4; count > 0; --count)
                requests["d" + std::to_string(random() % 5)] = 1 + random() % 9;
            all.replace(entry, loadsOf(requests));
            reports[entry] = requests;
        }
        std::map<std::string, std::uint32_t> expected;
        for (const auto& [other, requests] : reports) {
            for (const auto& [id, count] : requests) {
                if (other != "entry-0")
                    expected[id] += count;
            }
        }
        REQUIRE(othersOf(all, "entry-0") == expected);
    }
}

// Guards against answers to entries that grow with the number of endpoints: the leader's traffic then grows with its product
// with the number of entries.
TEST_CASE("An entry receives the load of the busiest endpoints only, if there are thousands")
{
    constexpr unsigned entries = 300;
    constexpr unsigned endpoints = 3000;
    entry_loads all;
    for (unsigned entry = 0; entry < entries; ++entry) {
        std::map<std::string, std::uint32_t> requests;
        for (unsigned i = 0; i < endpoints / entries; ++i)
            requests["d" + std::to_string(entry * (endpoints / entries) + i)] = 1;
        // All entries use these too.
        for (unsigned i = 0; i < 10; ++i)
            requests["busy" + std::to_string(i)] = 1;
        all.replace("e" + std::to_string(entry), loadsOf(requests));
    }
    auto others = othersOf(all, "e7");
    CHECK(others.size() <= entry_loads::maxRows);
    for (unsigned i = 0; i < 10; ++i)
        CHECK(others["busy" + std::to_string(i)] == entries - 1);
    entry_loads::loads rows;
    all.fillOthers("e7", rows);
    wire::entry_update update;
    *update.mutable_load() = rows;
    // Two answers a second within a quarter of the 16 KB/s that a VM may spend on control.
    constexpr std::size_t bytesPerAnswer = 2048;
    CHECK(update.ByteSizeLong() <= bytesPerAnswer);
    // Endpoints that become busy are listed soon.
    for (unsigned entry = 0; entry < entries; ++entry)
        all.replace("e" + std::to_string(entry), loadsOf({ { "new", 2 } }));
    CHECK(othersOf(all, "e7")["new"] == 2 * (entries - 1));
}

// Guards against busy endpoints that others are told of late, because rows that only tell how slow an endpoint is make the list long.
TEST_CASE("Rows without load take no place among the busiest endpoints")
{
    entry_loads all;
    std::map<std::string, std::uint32_t> idle;
    for (int i = 0; i < 5000; ++i)
        idle["idle" + std::to_string(i)] = 0;
    all.replace("a", loadsOf(idle));
    CHECK(othersOf(all, "b").empty());
    all.replace("b", loadsOf({ { "d1", 1 } }));
    CHECK(othersOf(all, "a") == std::map<std::string, std::uint32_t> { { "d1", 1 } });
}
