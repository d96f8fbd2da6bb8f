#pragma once
#include "consensus/memory_log_store.h"
#include <optional>
#include <string>

namespace pistachiolatch {

/// The state that a data folder holds when it is opened.
struct stored_replica {
    std::uint64_t incarnation = 0;
    raft_persistent_state restored;
    /// Whether the folder was empty, so that this is a new replica.
    bool isNew = false;
    /// Bytes of an incomplete record at the end of the log, left by a crash and truncated.
    std::uint64_t tornBytes = 0;
};

/// Delay before retrying to open a folder that could not be used.
constexpr milliseconds storageReopenDelay { 1000 };

/// Stores a replica's incarnation, hard state, snapshot and log as checksummed, synced files in one data folder.
/// Not thread-safe. A lock file prevents a second process from using the folder.
class file_log_store {
public:
    file_log_store() = default;
    ~file_log_store();
    file_log_store(file_log_store&& other) noexcept;
    file_log_store& operator=(file_log_store&&) = delete;

    /// Opens the folder, which must exist, and reads its files. An incomplete record at the end of the log is truncated;
    /// damage before the end is an error, since truncating there would lose acknowledged entries.
    /// An empty folder gets `incarnationIfNew`, or a generated one.
    /// Errors: folder missing or in use, damaged file, disk errors; each names the file. A folder that lacks a file that a replica of its
    /// incarnation has written is refused: the replica would have forgotten its votes or entries. It may be about to be emptied.
    result<stored_replica> open(const std::string& folder, std::optional<std::uint64_t> incarnationIfNew = std::nullopt);
    /// Opens the folder after a write or sync failed. The content that is read may exist only in the page cache, so the
    /// snapshot and the log are rewritten. Errors: those of open(), disk errors.
    result<stored_replica> openAfterFailure(const std::string& folder, std::optional<std::uint64_t> incarnationIfNew = std::nullopt);
    /// Closes the files and releases the lock, so that the folder can be opened again.
    void close();
    /// Writes and syncs the snapshot, hard state and entries. Errors: disk errors.
    result<void> persist(const raft_write& write);
    /// Replaces the snapshot, then the log with the entries after the snapshot.
    result<void> compact(const wire::raft_snapshot& snapshot, const std::vector<wire::log_entry>& remainingEntries);

private:
    /// What a folder holds when it is opened.
    struct stored_files {
        bool hasIncarnation = false;
        bool hasHardState = false;
        bool hasSnapshot = false;
        bool hasLog = false;
        std::uint64_t snapshotIndex = 0;
        std::uint64_t logBytes = 0;
    };

    std::string path(const char* name) const { return m_folder + "/" + name; }
    result<void> writeFile(const char* name, const std::string& payload);
    result<std::string> readFile(const char* name, bool& present) const;
    /// Whether no file is missing that a replica writes before the others. Errors: one is.
    result<void> checkComplete(const stored_files& files) const;
    /// Opens the log, or creates an empty one and syncs the folder.
    result<void> openLog();
    /// Precondition: the log is open.
    result<void> readLog(stored_replica& replica);
    result<void> rewriteLog(const std::vector<wire::log_entry>& entries);
    result<void> appendBytes(const std::string& bytes);

    std::string m_folder;
    int m_lockDescriptor = -1;
    int m_logDescriptor = -1;
};

} // namespace pistachiolatch
