// Guards against entries that stay without a leader, and so refuse their callers, because the processes that they ask name
// each other.
#include "coordination/leader_search.h"
#include <catch2/catch.hpp>
#include <map>

using namespace pistachiolatch;

namespace {
/// Number of processes asked until the leader was reached; the limit if it was not.
int questionsUntil(leader_search& search, const std::string& leader, const std::map<std::string, std::string>& named, int limit = 50)
{
    for (int questions = 1; questions <= limit; ++questions) {
        auto asked = search.next();
        if (asked == leader)
            return questions;
        auto answer = named.find(asked);
        search.onNotLeader(asked, answer == named.end() ? std::string() : answer->second);
    }
    return limit;
}
}

TEST_CASE("A former leader and a follower that name each other don't keep an entry from the new leader")
{
    // c and d are cut off from a, b and e, which have elected e; nobody else has told a and b yet.
    leader_search search;
    search.addControls({ "a", "b", "c", "d", "e" });
    search.onNotLeader("c", "c");
    CHECK(questionsUntil(search, "e", { { "c", "c" }, { "d", "c" } }) <= 5);
    search.restart();
    CHECK(questionsUntil(search, "e", { { "a", "c" }, { "b", "c" }, { "c", "d" }, { "d", "c" } }) <= 5);
}

TEST_CASE("A named leader is asked next")
{
    leader_search search;
    search.addControls({ "a", "b", "c", "d", "e" });
    auto asked = search.next();
    CHECK(search.onNotLeader(asked, "d"));
    CHECK(search.next() == "d");
    // Once it has denied to lead, further hints to it are ignored in this round.
    CHECK_FALSE(search.onNotLeader("d", ""));
    asked = search.next();
    CHECK(asked != "d");
    CHECK_FALSE(search.onNotLeader(asked, "d"));
    // In a new round it may have become the leader.
    search.restart();
    CHECK(search.onNotLeader(asked, "d"));
}

TEST_CASE("All processes are asked in turn while none names a leader, and a named process may be unknown")
{
    leader_search search;
    CHECK(search.next().empty());
    search.addControls({ "a", "b", "c" });
    for (int round = 0; round < 3; ++round) {
        std::set<std::string> asked;
        for (int i = 0; i < 3; ++i)
            asked.insert(search.next());
        CHECK(asked.size() == 3);
    }
    CHECK(search.onNotLeader("a", "f"));
    CHECK(search.next() == "f");
}
