#pragma once
#include "consensus/memory_log_store.h"
#include <optional>
#include <string>

namespace pistachiolatch {

/// What a data folder held at the start.
struct stored_replica {
    std::uint64_t incarnation = 0;
    raft_persistent_state restored;
    /// Whether the folder was empty, so that this is a new replica.
    bool fresh = false;
    /// Bytes of a record cut short by a crash, dropped at the start.
    std::uint64_t tornBytes = 0;
};

/// Pause before a folder that could not be used is opened again.
constexpr milliseconds storageReopenDelay { 1000 };

/// A replica's files in one data folder: incarnation, hard state, snapshot and the log, each checksummed and synced.
/// Not thread-safe: one process, one thread. A lock file keeps a second process out.
class file_log_store {
public:
    file_log_store() = default;
    ~file_log_store();
    file_log_store(file_log_store&& other) noexcept;
    file_log_store& operator=(file_log_store&&) = delete;

    /// Opens the folder, which must exist, and reads what it holds. A log cut short at its end is repaired; damage
    /// before the end is refused, since dropping what follows would forget acknowledged entries.
    /// A folder without an identity gets a fresh one, or the one that is given.
    /// Errors: folder missing or in use, damaged file, disk errors; each names the file.
    result<stored_replica> open(const std::string& folder, std::optional<std::uint64_t> identityIfFresh = std::nullopt);
    /// Opens the folder after a write or sync failed. What can be read then may be in memory alone, so all of it is written
    /// anew; a disk that still takes no writes is an error. Errors: those of open(), disk errors.
    result<stored_replica> openAfterFailure(const std::string& folder, std::optional<std::uint64_t> identityIfFresh = std::nullopt);
    /// Gives up the files and the lock, so that the folder can be opened again.
    void close();
    /// Writes and syncs what the ready asks for. Errors: disk errors.
    result<void> persist(const raft_ready& ready);
    /// Replaces the snapshot, then the log by the entries behind it.
    result<void> compact(const wire::raft_snapshot& snapshot, const std::vector<wire::log_entry>& rest);

private:
    std::string path(const char* name) const { return m_folder + "/" + name; }
    result<void> writeWhole(const char* name, const std::string& payload);
    result<std::string> readWhole(const char* name, bool& present) const;
    result<void> readLog(stored_replica& replica);
    result<void> rewriteLog(const std::vector<wire::log_entry>& entries);
    result<void> appendBytes(const std::string& bytes);

    std::string m_folder;
    int m_lock = -1;
    int m_log = -1;
};

} // namespace pistachiolatch
