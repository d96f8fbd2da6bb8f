#include "consensus/consensus.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <sys/syscall.h>
#include <unistd.h>

using namespace pistachiolatch;

namespace {
/// Paths of the files that this process has synced.
std::set<std::string>& syncedFiles()
{
    static std::set<std::string> files;
    return files;
}
}

/// Overrides the C library's function to record which files are synced.
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

raft_write makeEntries(std::uint64_t first, std::uint64_t last, std::uint64_t term)
{
    raft_write ready;
    for (auto index = first; index <= last; ++index) {
        wire::log_entry entry;
        entry.set_index(index);
        entry.set_term(term);
        entry.set_data("entry " + std::to_string(index));
        ready.append.push_back(entry);
    }
    return ready;
}

/// A replica that has entries has been in their term.
void writeLog(const std::string& folder)
{
    file_log_store store;
    REQUIRE(store.open(folder));
    auto write = makeEntries(1, 10, 1);
    write.hardState.emplace().set_term(1);
    REQUIRE(store.persist(write));
}

wire::raft_snapshot makeSnapshot(std::uint64_t index)
{
    wire::raft_snapshot snapshot;
    snapshot.set_index(index);
    snapshot.set_term(1);
    snapshot.set_state("state");
    return snapshot;
}
}

// Guards against a restarted replica that has lost its vote, its incarnation or an entry that it acknowledged.
TEST_CASE("A reopened data folder returns the synced state")
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
        auto ready = makeEntries(8, 9, 2);
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

// A power failure during a write leaves an incomplete record at the end of the log. It was never acknowledged, so it is
// truncated and the replica starts.
TEST_CASE("An incomplete record at the end of a log is truncated", "[promise]")
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
    REQUIRE(store.persist(makeEntries(10, 10, 3)));
}

// A byte is corrupted in the middle of the log or in its last record. Truncating there would silently lose acknowledged
// entries, so the replica refuses to start and reports the position of the damage.
TEST_CASE("A damaged log is refused", "[promise]")
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

TEST_CASE("A data folder can be used by only one process at a time")
{
    scratch_folder folder;
    file_log_store first;
    REQUIRE(first.open(folder.path));
    file_log_store second;
    auto refused = second.open(folder.path);
    REQUIRE(!refused);
    CHECK(refused.error().message.find("another process") != std::string::npos);
}

TEST_CASE("A snapshot replaces the log entries that it covers")
{
    scratch_folder folder;
    writeLog(folder.path);
    {
        file_log_store store;
        REQUIRE(store.open(folder.path));
        REQUIRE(store.compact(makeSnapshot(8), makeEntries(9, 10, 1).append));
        REQUIRE(store.persist(makeEntries(11, 11, 1)));
    }
    file_log_store store;
    auto replica = store.open(folder.path);
    REQUIRE(replica);
    CHECK(replica.value().restored.snapshot.state() == "state");
    REQUIRE(replica.value().restored.entries.size() == 3);
    CHECK(replica.value().restored.entries.back().index() == 11);
}

// Guards against acknowledging entries that a killed process wrote but never synced: a power failure could still lose them.
TEST_CASE("Opening a log syncs the entries that it contains")
{
    scratch_folder folder;
    writeLog(folder.path);
    syncedFiles().clear();
    file_log_store store;
    REQUIRE(store.open(folder.path));
    CHECK(syncedFiles().count(folder.path + "/log") == 1);
}

// Guards against acknowledging data that a failed write or sync left only in the page cache.
TEST_CASE("Opening a folder after a failure rewrites its snapshot and log")
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
    file_log_store reopenedStore;
    auto reopened = reopenedStore.open(folder.path);
    REQUIRE(reopened);
    CHECK(reopened.value().restored.entries.size() == 10);
    CHECK(reopened.value().incarnation == replica.value().incarnation);
}

// Guards against a replica that forgets its votes or entries, since its process opens the folder again while an operator empties it.
TEST_CASE("A data folder that is being emptied is refused until nothing of the replica is left", "[promise]")
{
    std::vector<std::string> files { "hard_state", "incarnation", "log", "snapshot" };
    do {
        scratch_folder folder;
        writeLog(folder.path);
        {
            file_log_store store;
            REQUIRE(store.open(folder.path));
            REQUIRE(store.compact(makeSnapshot(5), makeEntries(6, 10, 1).append));
        }
        for (std::size_t removed = 0; removed < files.size(); ++removed) {
            std::filesystem::remove(folder.path + "/" + files[removed]);
            INFO("removed " << fmt::format("{}", fmt::join(files.begin(), files.begin() + static_cast<std::ptrdiff_t>(removed) + 1, ", ")));
            file_log_store store;
            auto replica = store.open(folder.path);
            bool isEmptied = removed + 1 == files.size();
            CHECK(static_cast<bool>(replica) == isEmptied);
            CHECK((!replica || replica.value().isNew));
            if (!isEmptied && replica)
                break;
        }
    } while (std::next_permutation(files.begin(), files.end()));
}

// Guards against a replica that isn't opened again after it was killed at any point of its first start.
TEST_CASE("A data folder without votes and entries is opened whatever of it was written")
{
    scratch_folder folder;
    std::ofstream(folder.path + "/log").close();
    {
        file_log_store store;
        auto replica = store.open(folder.path, 1);
        REQUIRE(replica);
        CHECK(replica.value().isNew);
        CHECK(replica.value().incarnation == 1);
    }
    for (bool afterFailure : { false, true, false }) {
        file_log_store store;
        auto replica = afterFailure ? store.openAfterFailure(folder.path) : store.open(folder.path);
        REQUIRE(replica);
        CHECK_FALSE(replica.value().isNew);
        CHECK(replica.value().incarnation == 1);
    }
}
