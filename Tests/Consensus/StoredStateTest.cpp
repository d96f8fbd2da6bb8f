#include "consensus/consensus.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
wire::replica_id idOf(int number)
{
    wire::replica_id id;
    id.set_vm("vm" + std::to_string(number));
    id.set_incarnation(1);
    return id;
}

wire::raft_message messageTo(const wire::replica_id& to, wire::raft_kind kind, int from, std::uint64_t term)
{
    wire::raft_message message;
    message.set_kind(kind);
    *message.mutable_from() = idOf(from);
    *message.mutable_to() = to;
    message.set_term(term);
    return message;
}

/// Entries of one term, from the first index to the last, after an entry of the previous term given.
wire::raft_message appendTo(const wire::replica_id& to, int from, std::uint64_t term, std::uint64_t previousTerm, std::uint64_t first, std::uint64_t last)
{
    auto message = messageTo(to, wire::RAFT_APPEND, from, term);
    message.set_index(first - 1);
    message.set_log_term(previousTerm);
    for (auto index = first; index <= last; ++index) {
        auto& entry = *message.add_entries();
        entry.set_index(index);
        entry.set_term(term);
    }
    return message;
}

/// The highest index that messages confirm.
std::uint64_t confirmedIndex(const std::vector<wire::raft_message>& messages)
{
    std::uint64_t confirmed = 0;
    for (const auto& message : messages) {
        if (message.kind() == wire::RAFT_APPEND_REPLY && !message.reject())
            confirmed = std::max(confirmed, message.index());
    }
    return confirmed;
}

bool contains(const std::vector<wire::raft_message>& messages, wire::raft_kind kind)
{
    return std::any_of(messages.begin(), messages.end(), [&](const auto& message) { return message.kind() == kind; });
}

/// One of three voters, whose host the test plays.
class single_replica {
public:
    single_replica()
    {
        wire::replica_set voters;
        for (int number = 1; number <= 3; ++number)
            *voters.add_voters() = idOf(number);
        core.bootstrap(voters);
        store(core.takeReady());
    }

    void store(const raft_ready& ready) { core.recordStored(ready.write.hardState, ready.write.end(), now); }

    raft_ready step(const wire::raft_message& message)
    {
        core.step(message, now);
        return core.takeReady();
    }

    wire::replica_id id = idOf(1);
    time_point now { std::chrono::hours(1) };
    raft_core core { id, raft_settings {}, 1, {}, now };
};
}

// Guards against two leaders in one term: a replica that forgets a vote when it crashes can vote again.
TEST_CASE("A vote is sent after it is stored", "[promise]")
{
    single_replica replica;
    replica.now += std::chrono::seconds(5);
    auto request = messageTo(replica.id, wire::RAFT_VOTE, 2, 2);
    request.set_index(1);
    request.set_log_term(1);
    auto ready = replica.step(request);
    REQUIRE(ready.write.hardState);
    CHECK(ready.write.hardState->voted_for_vm() == "vm2");
    CHECK_FALSE(contains(ready.messages, wire::RAFT_VOTE_REPLY));
    CHECK(contains(ready.messagesAfterWrite, wire::RAFT_VOTE_REPLY));
}

// Guards against a replica that takes part in a term and forgets it when it crashes.
TEST_CASE("Nothing is said in a term that is not stored", "[promise]")
{
    single_replica replica;
    auto ready = replica.step(appendTo(replica.id, 2, 2, 1, 2, 2));
    CHECK(ready.messages.empty());
    CHECK(confirmedIndex(ready.messagesAfterWrite) == 2);
    replica.store(ready);
    auto heartbeat = replica.step(appendTo(replica.id, 2, 2, 2, 3, 2));
    CHECK(confirmedIndex(heartbeat.messages) == 2);
}

// Guards against a majority that counts entries which their replica has not stored.
TEST_CASE("A replica confirms at once what is stored, and the rest after its write", "[promise]")
{
    single_replica replica;
    replica.store(replica.step(appendTo(replica.id, 2, 2, 1, 2, 2)));
    auto message = appendTo(replica.id, 2, 2, 2, 3, 5);
    message.set_round(7);
    auto ready = replica.step(message);
    REQUIRE(ready.messages.size() == 1);
    CHECK(ready.messages.front().index() == 2);
    CHECK(ready.messages.front().round() == 7);
    CHECK(confirmedIndex(ready.messagesAfterWrite) == 5);
}

// Guards against a write of entries that counts for those of another leader which replaced them meanwhile.
TEST_CASE("A completed write does not count for entries that replaced its own", "[promise]")
{
    single_replica replica;
    replica.store(replica.step(appendTo(replica.id, 2, 2, 1, 2, 2)));
    auto first = replica.step(appendTo(replica.id, 2, 2, 2, 3, 5));
    auto second = replica.step(appendTo(replica.id, 3, 3, 2, 3, 5));
    replica.core.recordStored(second.write.hardState, {}, replica.now);
    replica.store(first);
    auto heartbeat = replica.step(appendTo(replica.id, 3, 3, 3, 6, 5));
    CHECK(confirmedIndex(heartbeat.messages) == 2);
    replica.core.recordStored(std::nullopt, second.write.end(), replica.now);
    heartbeat = replica.step(appendTo(replica.id, 3, 3, 3, 6, 5));
    CHECK(confirmedIndex(heartbeat.messages) == 5);
}
