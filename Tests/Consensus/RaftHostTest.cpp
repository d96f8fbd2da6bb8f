#include "consensus/consensus.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <thread>
#include <unistd.h>

using namespace pistachiolatch;

namespace {
constexpr std::size_t megabyte = 1024UL * 1024;

wire::replica_id makeId(const std::string& vm)
{
    wire::replica_id id;
    id.set_vm(vm);
    id.set_incarnation(1);
    return id;
}

/// What a test does to a disk, and what reached it.
struct disk_state {
    std::atomic<bool> standsStill = false;
    /// The power fails during the next write of several entries: only the first one reaches the disk.
    std::atomic<bool> losesPower = false;
    std::atomic<int> writes = 0;
    milliseconds syncTime { 0 };
};

/// Stores in files, if a folder is opened, on a disk that a test controls.
struct controlled_store {
    file_log_store files;
    bool hasFiles = false;
    disk_state* disk = nullptr;

    void sync() const
    {
        ++disk->writes;
        std::this_thread::sleep_for(disk->syncTime);
        while (disk->standsStill)
            std::this_thread::sleep_for(milliseconds(1));
    }
    result<void> persist(const raft_write& write)
    {
        sync();
        auto stored = write;
        bool isTorn = disk->losesPower && write.append.size() > 1;
        if (isTorn)
            stored.append.resize(1);
        if (hasFiles) {
            BOOST_OUTCOME_TRYV(files.persist(stored));
        }
        if (isTorn)
            return failure { "the power failed" };
        return ok();
    }
    result<void> compact(const wire::raft_snapshot& snapshot, const std::vector<wire::log_entry>& rest)
    {
        sync();
        return hasFiles ? files.compact(snapshot, rest) : ok();
    }
};

/// A replica on a disk that a test controls; the only voter, unless the test plays a leader.
class hosted_replica {
public:
    explicit hosted_replica(const std::string& folder = {}, raft_settings settings = {})
        : host(raft_core(makeId("vm1"), settings, 1, {}, clock.now()), openStore(folder), clock, makeCallbacks())
    {
    }

    /// Ticks until the condition holds or a write fails.
    void runUntil(const std::function<bool()>& done)
    {
        auto end = clock.now() + std::chrono::seconds(10);
        while (!done() && clock.now() < end) {
            host.core().tick(clock.now());
            if (!host.processReady())
                return;
            std::this_thread::sleep_for(milliseconds(1));
        }
    }
    void lead()
    {
        host.core().bootstrap();
        runUntil([&] { return host.core().hasCommittedInTerm() && !host.isWriting(); });
        REQUIRE(host.core().hasCommittedInTerm());
    }
    /// Receives an entry from a leader.
    void receive(std::uint64_t index, std::size_t bytes)
    {
        wire::raft_message message;
        message.set_kind(wire::RAFT_APPEND);
        *message.mutable_from() = makeId("vm2");
        *message.mutable_to() = makeId("vm1");
        message.set_term(1);
        message.set_index(index - 1);
        message.set_log_term(index > 1 ? 1 : 0);
        auto& entry = *message.add_entries();
        entry.set_index(index);
        entry.set_term(1);
        entry.set_data(std::string(bytes, 'x'));
        host.core().step(message, clock.now());
        REQUIRE(host.processReady());
    }

    boottime_clock_source clock;
    disk_state disk;
    std::uint64_t applied = 0;
    raft_host<controlled_store> host;

private:
    controlled_store openStore(const std::string& folder)
    {
        controlled_store store { {}, !folder.empty(), &disk };
        if (store.hasFiles)
            REQUIRE(store.files.open(folder));
        return store;
    }
    raft_callbacks makeCallbacks()
    {
        raft_callbacks callbacks;
        callbacks.send = [](const wire::raft_message&) {};
        callbacks.apply = [this](const wire::log_entry& entry) { applied = entry.index(); };
        callbacks.restore = [](const wire::raft_snapshot&) {};
        callbacks.completeRead = [](std::uint64_t, bool) {};
        callbacks.writeCompleted = [] {};
        callbacks.slowWrite = [](duration) {};
        return callbacks;
    }
};
}

// Guards against the loss of confirmed entries: if a compaction stores entries that a later write stores again, a power failure
// during that write removes all after its first.
TEST_CASE("A command that was confirmed after a compaction survives a power failure", "[promise]")
{
    auto folder = (std::filesystem::temp_directory_path() / ("pistachiolatch-host-" + std::to_string(::getpid()))).string();
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    std::uint64_t confirmed = 0;
    {
        hosted_replica replica(folder);
        replica.lead();
        auto compacted = replica.applied;
        replica.disk.standsStill = true;
        REQUIRE(replica.host.core().propose("before"));
        REQUIRE(replica.host.processReady());
        for (int i = 0; i < 3; ++i)
            REQUIRE(replica.host.core().propose("command " + std::to_string(i)));
        auto last = replica.host.core().log().lastIndex();
        replica.host.compact(compacted, "state");
        replica.disk.losesPower = true;
        replica.disk.standsStill = false;
        replica.runUntil([&] { return replica.applied >= last && !replica.host.isWriting(); });
        confirmed = replica.applied;
    }
    file_log_store reopened;
    auto stored = reopened.open(folder);
    REQUIRE(stored);
    const auto& restored = stored.value().restored;
    CHECK((restored.entries.empty() ? restored.snapshot.index() : restored.entries.back().index()) >= confirmed);
    std::filesystem::remove_all(folder);
}

// Guards against a log that accepts fewer commands than arrive, because each is synced on its own although others wait.
TEST_CASE("Commands that arrive during a write share the next one", "[promise]")
{
    hosted_replica replica;
    replica.lead();
    replica.disk.syncTime = milliseconds(5);
    replica.disk.writes = 0;
    constexpr int commands = 400;
    auto startedAt = replica.clock.now();
    for (int i = 0; i < commands; ++i) {
        std::this_thread::sleep_until(startedAt + milliseconds(i));
        REQUIRE(replica.host.core().propose("command"));
        REQUIRE(replica.host.processReady());
    }
    auto last = replica.host.core().log().lastIndex();
    replica.runUntil([&] { return replica.applied >= last; });
    CHECK(replica.applied >= last);
    CHECK(replica.disk.writes < commands / 2);
}

// Guards against a process whose memory grows without a bound while its disk stands still.
TEST_CASE("A replica whose disk stands still takes no entries beyond a limit, and all others once the disk works", "[promise]")
{
    raft_settings settings;
    settings.maxUnstoredEntries = 100;
    settings.maxUnstoredBytes = 16 * megabyte;
    hosted_replica replica({}, settings);
    replica.disk.standsStill = true;
    SECTION("small entries")
    {
        for (std::uint64_t index = 1; index <= 300; ++index)
            replica.receive(index, 1);
        CHECK(replica.host.core().log().lastIndex() < 110);
    }
    SECTION("large entries")
    {
        for (std::uint64_t index = 1; index <= 30; ++index)
            replica.receive(index, megabyte);
        CHECK(replica.host.core().log().lastIndex() < 20);
    }
    replica.disk.standsStill = false;
    auto taken = replica.host.core().log().lastIndex();
    replica.runUntil([&] { return !replica.host.isWriting(); });
    replica.receive(taken + 1, 1);
    CHECK(replica.host.core().log().lastIndex() == taken + 1);
}

// Guards against a leader whose memory grows without a bound while its disk stands still.
TEST_CASE("A leader whose disk stands still refuses commands beyond a limit", "[promise]")
{
    raft_settings settings;
    settings.maxUnstoredBytes = 16 * megabyte;
    hosted_replica replica({}, settings);
    replica.lead();
    replica.disk.standsStill = true;
    int accepted = 0;
    for (int i = 0; i < 30; ++i) {
        accepted += replica.host.core().propose(std::string(megabyte, 'x')) ? 1 : 0;
        REQUIRE(replica.host.processReady());
    }
    CHECK(accepted > 10);
    CHECK(accepted < 20);
    replica.disk.standsStill = false;
    replica.runUntil([&] { return !replica.host.isWriting(); });
    CHECK(replica.host.core().propose("command"));
}
