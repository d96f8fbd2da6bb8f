#include "consensus/consensus.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <sys/syscall.h>
#include <unistd.h>

using namespace pistachiolatch;

namespace {
/// The files that this process has synced, by path.
std::set<std::string>& syncedFiles()
{
    static std::set<std::string> files;
    return files;
}
}

/// Stands before the C library's, so that a test can tell what was synced.
extern "C" int fdatasync(int descriptor)
{
    auto link = "/proc/self/fd/" + std::to_string(descriptor);
    syncedFiles().insert(std::filesystem::read_symlink(link).string());
    return static_cast<int>(::syscall(SYS_fdatasync, descriptor));
}

namespace {
struct scratch_folder {
    std::string path = (std::filesystem::temp_directory_path() / ("pistachiolatch-log-" + std::to_string(::getpid()))).string();
    scratch_folder()
    {
        std::filesystem::remove_all(path);
        std::filesystem::create_directories(path);
    }
    ~scratch_folder() { std::filesystem::remove_all(path); }
};

raft_ready entries(std::uint64_t first, std::uint64_t last, std::uint64_t term)
{
    raft_ready ready;
    for (auto index = first; index <= last; ++index) {
        wire::log_entry entry;
        entry.set_index(index);
        entry.set_term(term);
        entry.set_data("entry " + std::to_string(index));
        ready.append.push_back(entry);
    }
    return ready;
}

void writeLog(const std::string& folder)
{
    file_log_store store;
    REQUIRE(store.open(folder));
    REQUIRE(store.persist(entries(1, 10, 1)));
}
}

// A replica that restarts must know its vote and every entry it acknowledged, and keep its identity.
TEST_CASE("A data folder gives back what was synced")
{
    scratch_folder folder;
    writeLog(folder.path);
    std::uint64_t incarnation = 0;
    {
        file_log_store store;
        auto replica = store.open(folder.path);
        REQUIRE(replica);
        CHECK(replica.value().restored.entries.size() == 10);
        incarnation = replica.value().incarnation;
        auto ready = entries(8, 9, 2);
        ready.hardState.emplace().set_term(7);
        REQUIRE(store.persist(ready));
    }
    file_log_store store;
    auto replica = store.open(folder.path);
    REQUIRE(replica);
    CHECK(replica.value().incarnation == incarnation);
    CHECK(replica.value().restored.hardState.term() == 7);
    REQUIRE(replica.value().restored.entries.size() == 9);
    CHECK(replica.value().restored.entries[7].term() == 2);
}

// Power goes while a record is written: the file ends inside of it. The record was never acknowledged, so the
// replica cuts it off and goes on.
TEST_CASE("A log that ends inside a record is repaired", "[promise]")
{
    scratch_folder folder;
    writeLog(folder.path);
    auto log = folder.path + "/log";
    std::filesystem::resize_file(log, std::filesystem::file_size(log) - 5);
    file_log_store store;
    auto replica = store.open(folder.path);
    REQUIRE(replica);
    CHECK(replica.value().restored.entries.size() == 9);
    CHECK(replica.value().tornBytes > 0);
    REQUIRE(store.persist(entries(10, 10, 3)));
}

// A byte rots in the middle or in the last record. What follows, or the record itself, was acknowledged; dropping
// it would lose an accepted record without a word. The replica refuses to start and says where the damage is.
TEST_CASE("A log damaged before its end is refused", "[promise]")
{
    scratch_folder folder;
    auto log = folder.path + "/log";
    bool middle = GENERATE(true, false);
    writeLog(folder.path);
    auto size = static_cast<std::streamoff>(std::filesystem::file_size(log));
    {
        std::fstream file(log, std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(middle ? size / 2 : size - 3);
        file.put('\x7f');
    }
    file_log_store store;
    auto replica = store.open(folder.path);
    REQUIRE(!replica);
    CHECK(replica.error().message.find("damaged at byte") != std::string::npos);
    CHECK(replica.error().message.find(log) != std::string::npos);
}

TEST_CASE("A data folder serves one process at a time")
{
    scratch_folder folder;
    file_log_store first;
    REQUIRE(first.open(folder.path));
    file_log_store second;
    auto refused = second.open(folder.path);
    REQUIRE(!refused);
    CHECK(refused.error().message.find("another process") != std::string::npos);
}

TEST_CASE("A snapshot replaces the log before it")
{
    scratch_folder folder;
    writeLog(folder.path);
    {
        file_log_store store;
        REQUIRE(store.open(folder.path));
        wire::raft_snapshot snapshot;
        snapshot.set_index(8);
        snapshot.set_term(1);
        snapshot.set_state("state");
        REQUIRE(store.compact(snapshot, entries(9, 10, 1).append));
        REQUIRE(store.persist(entries(11, 11, 1)));
    }
    file_log_store store;
    auto replica = store.open(folder.path);
    REQUIRE(replica);
    CHECK(replica.value().restored.snapshot.state() == "state");
    REQUIRE(replica.value().restored.entries.size() == 3);
    CHECK(replica.value().restored.entries.back().index() == 11);
}

// Guards against counting an entry that a killed process wrote and never synced: a power cut would take it afterwards.
TEST_CASE("What a log shows at the start is on the disk before it counts")
{
    scratch_folder folder;
    writeLog(folder.path);
    syncedFiles().clear();
    file_log_store store;
    REQUIRE(store.open(folder.path));
    CHECK(syncedFiles().count(folder.path + "/log") == 1);
}

// Guards against counting what a failed write or sync left in memory alone.
TEST_CASE("What a folder shows after a failure is written anew before it counts")
{
    scratch_folder folder;
    writeLog(folder.path);
    syncedFiles().clear();
    file_log_store store;
    auto replica = store.openAfterFailure(folder.path);
    REQUIRE(replica);
    CHECK(replica.value().restored.entries.size() == 10);
    CHECK(syncedFiles().count(folder.path + "/snapshot.new") == 1);
    CHECK(syncedFiles().count(folder.path + "/log.new") == 1);
    store.close();
    file_log_store again;
    auto reread = again.open(folder.path);
    REQUIRE(reread);
    CHECK(reread.value().restored.entries.size() == 10);
    CHECK(reread.value().incarnation == replica.value().incarnation);
}
