#include "consensus/file_log_store.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

namespace pistachiolatch {

namespace {
    constexpr std::uint32_t recordMagic = 0x504c4f47;
    constexpr const char* lockFile = "lock";
    constexpr const char* incarnationFile = "incarnation";
    constexpr const char* hardStateFile = "hard_state";
    constexpr const char* snapshotFile = "snapshot";
    constexpr const char* logFile = "log";

    /// Header of each record; every file is a sequence of records.
    struct record_header {
        std::uint32_t magic;
        std::uint32_t size;
        std::uint64_t checksum;
    };

    failure fileFailure(const std::string& path, const char* action)
    {
        return failure { fmt::format("{}: cannot {}: {}", path, action, std::strerror(errno)) };
    }

    std::string encodeRecord(const std::string& payload)
    {
        record_header header { recordMagic, static_cast<std::uint32_t>(payload.size()), XXH3_64bits(payload.data(), payload.size()) };
        std::string bytes(reinterpret_cast<const char*>(&header), sizeof header);
        return bytes + payload;
    }

    struct parsed_record {
        bool valid = false;
        std::size_t size = 0;
        std::string payload;
    };

    parsed_record parseRecord(const std::string& bytes, std::size_t offset)
    {
        record_header header {};
        if (bytes.size() - offset < sizeof header)
            return {};
        std::memcpy(&header, bytes.data() + offset, sizeof header);
        if (header.magic != recordMagic || header.size > bytes.size() - offset - sizeof header)
            return {};
        auto payload = bytes.substr(offset + sizeof header, header.size);
        if (XXH3_64bits(payload.data(), payload.size()) != header.checksum)
            return {};
        return { true, sizeof header + header.size, std::move(payload) };
    }

    /// Whether the bytes from the offset on can result from a crash during an append: a record that extends past the
    /// end of the file, or one whose last part was never written and reads as zeros. A complete record with a wrong
    /// checksum cannot: it was synced, possibly acknowledged, and corrupted later.
    bool isTornWrite(const std::string& bytes, std::size_t offset)
    {
        record_header header {};
        if (bytes.size() - offset < sizeof header)
            return true;
        std::memcpy(&header, bytes.data() + offset, sizeof header);
        bool zeroTail = bytes.find_first_not_of('\0', offset + sizeof header) == std::string::npos;
        if (header.magic != recordMagic)
            return zeroTail && bytes.find_first_not_of('\0', offset) == std::string::npos;
        auto end = offset + sizeof header + header.size;
        if (end > bytes.size()) {
            // A corrupted length also extends past the end, but then complete records follow.
            for (auto next = offset + 1; next + sizeof header <= bytes.size(); ++next) {
                if (parseRecord(bytes, next).valid)
                    return false;
            }
            return true;
        }
        return end == bytes.size() && bytes.back() == '\0' && bytes[bytes.size() - std::min<std::size_t>(header.size, 8)] == '\0';
    }

    result<void> writeAll(int descriptor, const std::string& bytes, const std::string& path)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            auto written = ::write(descriptor, bytes.data() + done, bytes.size() - done);
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return fileFailure(path, "write");
            done += static_cast<std::size_t>(written);
        }
        return ok();
    }

    result<void> syncFolder(const std::string& folder)
    {
        int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (descriptor < 0)
            return fileFailure(folder, "open");
        bool synced = ::fsync(descriptor) == 0;
        ::close(descriptor);
        if (!synced)
            return fileFailure(folder, "sync");
        return ok();
    }

    void replayLogRecord(const wire::log_entry& entry, raft_persistent_state& restored)
    {
        auto& entries = restored.entries;
        // A later record with the same index replaces that entry and all entries after it.
        while (!entries.empty() && entries.back().index() >= entry.index())
            entries.pop_back();
        if (entry.index() > restored.snapshot.index())
            entries.push_back(entry);
    }
}

file_log_store::file_log_store(file_log_store&& other) noexcept
    : m_folder(std::move(other.m_folder))
    , m_lockDescriptor(std::exchange(other.m_lockDescriptor, -1))
    , m_logDescriptor(std::exchange(other.m_logDescriptor, -1))
{
}

file_log_store::~file_log_store()
{
    close();
}

void file_log_store::close()
{
    for (int* descriptor : { &m_logDescriptor, &m_lockDescriptor }) {
        if (*descriptor >= 0)
            ::close(std::exchange(*descriptor, -1));
    }
}

result<stored_replica> file_log_store::open(const std::string& folder, std::optional<std::uint64_t> incarnationIfNew)
{
    m_folder = folder;
    m_lockDescriptor = ::open(path(lockFile).c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (m_lockDescriptor < 0)
        return fileFailure(path(lockFile), "open (the data folder must exist)");
    if (::flock(m_lockDescriptor, LOCK_EX | LOCK_NB) != 0)
        return failure { fmt::format("{}: another process is using this data folder; stop it first", folder) };

    stored_replica replica;
    stored_files files;
    BOOST_OUTCOME_TRY(auto incarnation, readFile(incarnationFile, files.hasIncarnation));
    BOOST_OUTCOME_TRY(auto hardState, readFile(hardStateFile, files.hasHardState));
    if (!replica.restored.hardState.ParseFromString(hardState))
        return failure { fmt::format("{}: cannot be decoded", path(hardStateFile)) };
    BOOST_OUTCOME_TRY(auto snapshot, readFile(snapshotFile, files.hasSnapshot));
    if (!replica.restored.snapshot.ParseFromString(snapshot))
        return failure { fmt::format("{}: cannot be decoded", path(snapshotFile)) };
    files.snapshotIndex = replica.restored.snapshot.index();
    struct stat log { };
    files.hasLog = ::stat(path(logFile).c_str(), &log) == 0;
    files.logBytes = static_cast<std::uint64_t>(log.st_size);
    BOOST_OUTCOME_TRYV(checkComplete(files));

    BOOST_OUTCOME_TRYV(openLog());
    replica.isNew = !files.hasIncarnation;
    if (files.hasIncarnation) {
        replica.incarnation = std::strtoull(incarnation.c_str(), nullptr, 10);
    } else {
        // The incarnation is synced before anything else but the empty log: a vote must not be cast under an incarnation that a crash loses.
        replica.incarnation = incarnationIfNew.value_or(generateIncarnation());
        BOOST_OUTCOME_TRYV(writeFile(incarnationFile, std::to_string(replica.incarnation)));
    }
    BOOST_OUTCOME_TRYV(readLog(replica));
    return replica;
}

result<void> file_log_store::checkComplete(const stored_files& files) const
{
    auto incomplete = [this](const char* what) {
        return failure { fmt::format("{}: the folder has {}; empty it so that this VM rejoins as a new replica, or restore it from a backup", m_folder, what) };
    };
    if (!files.hasIncarnation && (files.logBytes > 0 || files.hasHardState || files.hasSnapshot))
        return incomplete("other files but no incarnation file");
    if (files.hasIncarnation && !files.hasLog)
        return incomplete("an incarnation file but no log");
    if (!files.hasHardState && (files.logBytes > 0 || files.snapshotIndex > 0))
        return incomplete("entries but no hard_state file");
    return ok();
}

result<void> file_log_store::openLog()
{
    m_logDescriptor = ::open(path(logFile).c_str(), O_CREAT | O_RDWR | O_APPEND | O_CLOEXEC, 0600);
    if (m_logDescriptor < 0)
        return fileFailure(path(logFile), "open");
    return syncFolder(m_folder);
}

result<stored_replica> file_log_store::openAfterFailure(const std::string& folder, std::optional<std::uint64_t> incarnationIfNew)
{
    BOOST_OUTCOME_TRY(auto replica, open(folder, incarnationIfNew));
    BOOST_OUTCOME_TRYV(compact(replica.restored.snapshot, replica.restored.entries));
    return replica;
}

result<void> file_log_store::readLog(stored_replica& replica)
{
    std::ifstream file(path(logFile), std::ios::binary);
    std::stringstream content;
    content << file.rdbuf();
    auto bytes = content.str();

    std::size_t offset = 0;
    while (offset < bytes.size()) {
        auto record = parseRecord(bytes, offset);
        wire::log_entry entry;
        if (record.valid && entry.ParseFromString(record.payload)) {
            replayLogRecord(entry, replica.restored);
            offset += record.size;
            continue;
        }
        if (!isTornWrite(bytes, offset))
            return failure { fmt::format("{}: damaged at byte {} of {}; empty the data folder so that this VM rejoins as a new replica, or restore it from a backup", path(logFile), offset, bytes.size()) };
        replica.tornBytes = bytes.size() - offset;
        if (::ftruncate(m_logDescriptor, static_cast<off_t>(offset)) != 0)
            return fileFailure(path(logFile), "truncate the incomplete record at the end");
        break;
    }
    // A process killed before its sync leaves entries that are readable but not durable: a power failure can still lose
    // them. They must be durable before this replica acknowledges them and they count towards a majority.
    if (::fdatasync(m_logDescriptor) != 0)
        return fileFailure(path(logFile), "sync");
    auto expected = replica.restored.snapshot.index();
    for (const auto& entry : replica.restored.entries) {
        if (entry.index() != ++expected)
            return failure { fmt::format("{}: entry {} is missing; empty the data folder so that this VM rejoins as a new replica", path(logFile), expected) };
    }
    return ok();
}

result<void> file_log_store::persist(const raft_write& write)
{
    // Entries without a hard state are those of a replica that has lost its votes.
    if (write.hardState) {
        BOOST_OUTCOME_TRYV(writeFile(hardStateFile, write.hardState->SerializeAsString()));
    }
    // Written before the log; otherwise a crash could leave a gap between the log and the entries after the snapshot.
    if (write.snapshot) {
        BOOST_OUTCOME_TRYV(compact(*write.snapshot, {}));
    }
    if (write.append.empty())
        return ok();
    std::string bytes;
    for (const auto& entry : write.append)
        bytes += encodeRecord(entry.SerializeAsString());
    return appendBytes(bytes);
}

result<void> file_log_store::appendBytes(const std::string& bytes)
{
    BOOST_OUTCOME_TRYV(writeAll(m_logDescriptor, bytes, path(logFile)));
    if (::fdatasync(m_logDescriptor) != 0)
        return fileFailure(path(logFile), "sync");
    return ok();
}

result<void> file_log_store::compact(const wire::raft_snapshot& snapshot, const std::vector<wire::log_entry>& remainingEntries)
{
    BOOST_OUTCOME_TRYV(writeFile(snapshotFile, snapshot.SerializeAsString()));
    return rewriteLog(remainingEntries);
}

result<void> file_log_store::rewriteLog(const std::vector<wire::log_entry>& entries)
{
    auto temporaryPath = path("log.new");
    int descriptor = ::open(temporaryPath.c_str(), O_CREAT | O_TRUNC | O_RDWR | O_APPEND | O_CLOEXEC, 0600);
    if (descriptor < 0)
        return fileFailure(temporaryPath, "open");
    std::swap(m_logDescriptor, descriptor);
    ::close(descriptor);
    std::string bytes;
    for (const auto& entry : entries)
        bytes += encodeRecord(entry.SerializeAsString());
    if (auto written = appendBytes(bytes); !written) {
        ::unlink(temporaryPath.c_str());
        return written;
    }
    if (::rename(temporaryPath.c_str(), path(logFile).c_str()) != 0)
        return fileFailure(temporaryPath, "rename");
    return syncFolder(m_folder);
}

result<void> file_log_store::writeFile(const char* name, const std::string& payload)
{
    auto temporaryPath = path(name) + ".new";
    int descriptor = ::open(temporaryPath.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
    if (descriptor < 0)
        return fileFailure(temporaryPath, "open");
    auto written = writeAll(descriptor, encodeRecord(payload), temporaryPath);
    if (written && ::fdatasync(descriptor) != 0)
        written = fileFailure(temporaryPath, "sync");
    ::close(descriptor);
    if (!written) {
        // A partial file would keep using space on a disk that may be full.
        ::unlink(temporaryPath.c_str());
        return written;
    }
    if (::rename(temporaryPath.c_str(), path(name).c_str()) != 0)
        return fileFailure(temporaryPath, "rename");
    return syncFolder(m_folder);
}

result<std::string> file_log_store::readFile(const char* name, bool& present) const
{
    std::ifstream file(path(name), std::ios::binary);
    present = static_cast<bool>(file);
    if (!present)
        return std::string();
    std::stringstream content;
    content << file.rdbuf();
    auto bytes = content.str();
    auto record = parseRecord(bytes, 0);
    if (!record.valid || record.size != bytes.size())
        return failure { fmt::format("{}: damaged; empty the data folder so that this VM rejoins as a new replica, or restore it from a backup", path(name)) };
    return record.payload;
}

} // namespace pistachiolatch
