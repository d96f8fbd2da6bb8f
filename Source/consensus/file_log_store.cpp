#include "consensus/file_log_store.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/file.h>
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

    /// Precedes each payload in every file.
    struct record_header {
        std::uint32_t magic;
        std::uint32_t size;
        std::uint64_t checksum;
    };

    failure fileFailure(const std::string& path, const char* action)
    {
        return failure { fmt::format("{}: can't {}: {}", path, action, std::strerror(errno)) };
    }

    std::string frame(const std::string& payload)
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

    /// Whether the bytes from the offset on are what a crash during an append leaves: a record that the file
    /// ends inside of, or one whose last part was never written and reads as zeros. A whole record with a wrong
    /// checksum is neither: it was synced, perhaps acknowledged, and has rotted since.
    bool looksTorn(const std::string& bytes, std::size_t offset)
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
            // A length that rotted also reaches past the end; then whole records still follow.
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

    void takeLogRecord(const wire::log_entry& entry, raft_restored& restored)
    {
        auto& entries = restored.entries;
        // A later record with the same index replaces that entry and all after it.
        while (!entries.empty() && entries.back().index() >= entry.index())
            entries.pop_back();
        if (entry.index() > restored.snapshot.index())
            entries.push_back(entry);
    }
}

file_log_store::file_log_store(file_log_store&& other) noexcept
    : m_folder(std::move(other.m_folder))
    , m_lock(std::exchange(other.m_lock, -1))
    , m_log(std::exchange(other.m_log, -1))
{
}

file_log_store::~file_log_store()
{
    close();
}

void file_log_store::close()
{
    for (int* descriptor : { &m_log, &m_lock }) {
        if (*descriptor >= 0)
            ::close(std::exchange(*descriptor, -1));
    }
}

result<stored_replica> file_log_store::open(const std::string& folder, std::optional<std::uint64_t> identityIfFresh)
{
    m_folder = folder;
    m_lock = ::open(path(lockFile).c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (m_lock < 0)
        return fileFailure(path(lockFile), "open; create the data folder first");
    if (::flock(m_lock, LOCK_EX | LOCK_NB) != 0)
        return failure { fmt::format("{}: another process uses this data folder; stop it first", folder) };

    stored_replica replica;
    bool present = false;
    BOOST_OUTCOME_TRY(auto incarnation, readWhole(incarnationFile, present));
    replica.fresh = !present;
    if (present) {
        replica.incarnation = std::strtoull(incarnation.c_str(), nullptr, 10);
    } else {
        // The identity is synced before anything else, so no vote can be given under an identity that a crash forgets.
        if (::access(path(logFile).c_str(), F_OK) == 0)
            return failure { fmt::format("{}: a log without an incarnation file; restore the file or empty the folder", folder) };
        replica.incarnation = identityIfFresh.value_or(generateIncarnation());
        BOOST_OUTCOME_TRYV(writeWhole(incarnationFile, std::to_string(replica.incarnation)));
    }
    BOOST_OUTCOME_TRY(auto hardState, readWhole(hardStateFile, present));
    if (!replica.restored.hardState.ParseFromString(hardState))
        return failure { fmt::format("{}: can't be decoded", path(hardStateFile)) };
    BOOST_OUTCOME_TRY(auto snapshot, readWhole(snapshotFile, present));
    if (!replica.restored.snapshot.ParseFromString(snapshot))
        return failure { fmt::format("{}: can't be decoded", path(snapshotFile)) };
    BOOST_OUTCOME_TRYV(readLog(replica));
    return replica;
}

result<stored_replica> file_log_store::openAfterFailure(const std::string& folder, std::optional<std::uint64_t> identityIfFresh)
{
    BOOST_OUTCOME_TRY(auto replica, open(folder, identityIfFresh));
    BOOST_OUTCOME_TRYV(compact(replica.restored.snapshot, replica.restored.entries));
    return replica;
}

result<void> file_log_store::readLog(stored_replica& replica)
{
    m_log = ::open(path(logFile).c_str(), O_CREAT | O_RDWR | O_APPEND | O_CLOEXEC, 0600);
    if (m_log < 0)
        return fileFailure(path(logFile), "open");
    std::ifstream file(path(logFile), std::ios::binary);
    std::stringstream content;
    content << file.rdbuf();
    auto bytes = content.str();

    std::size_t offset = 0;
    while (offset < bytes.size()) {
        auto record = parseRecord(bytes, offset);
        wire::log_entry entry;
        if (record.valid && entry.ParseFromString(record.payload)) {
            takeLogRecord(entry, replica.restored);
            offset += record.size;
            continue;
        }
        if (!looksTorn(bytes, offset))
            return failure { fmt::format("{}: damaged at byte {} of {}; empty the data folder so that this VM rejoins as a new replica, or restore it from a backup", path(logFile), offset, bytes.size()) };
        replica.tornBytes = bytes.size() - offset;
        if (::ftruncate(m_log, static_cast<off_t>(offset)) != 0)
            return fileFailure(path(logFile), "cut off the torn end");
        break;
    }
    // A process that was killed before it synced leaves entries that can be read and that a power cut takes. They would
    // count towards a majority as soon as this replica tells of them.
    if (::fdatasync(m_log) != 0)
        return fileFailure(path(logFile), "sync");
    auto expected = replica.restored.snapshot.index();
    for (const auto& entry : replica.restored.entries) {
        if (entry.index() != ++expected)
            return failure { fmt::format("{}: entry {} is missing; empty the data folder so that this VM rejoins as a new replica", path(logFile), expected) };
    }
    return syncFolder(m_folder);
}

result<void> file_log_store::persist(const raft_ready& ready)
{
    // The snapshot goes first: the entries that follow it would otherwise leave a gap after a crash.
    if (ready.snapshot) {
        BOOST_OUTCOME_TRYV(compact(*ready.snapshot, {}));
    }
    if (ready.hardState) {
        BOOST_OUTCOME_TRYV(writeWhole(hardStateFile, ready.hardState->SerializeAsString()));
    }
    if (ready.append.empty())
        return ok();
    std::string bytes;
    for (const auto& entry : ready.append)
        bytes += frame(entry.SerializeAsString());
    return appendBytes(bytes);
}

result<void> file_log_store::appendBytes(const std::string& bytes)
{
    BOOST_OUTCOME_TRYV(writeAll(m_log, bytes, path(logFile)));
    if (::fdatasync(m_log) != 0)
        return fileFailure(path(logFile), "sync");
    return ok();
}

result<void> file_log_store::compact(const wire::raft_snapshot& snapshot, const std::vector<wire::log_entry>& rest)
{
    BOOST_OUTCOME_TRYV(writeWhole(snapshotFile, snapshot.SerializeAsString()));
    return rewriteLog(rest);
}

result<void> file_log_store::rewriteLog(const std::vector<wire::log_entry>& entries)
{
    auto temporary = path("log.new");
    int descriptor = ::open(temporary.c_str(), O_CREAT | O_TRUNC | O_RDWR | O_APPEND | O_CLOEXEC, 0600);
    if (descriptor < 0)
        return fileFailure(temporary, "open");
    std::swap(m_log, descriptor);
    ::close(descriptor);
    std::string bytes;
    for (const auto& entry : entries)
        bytes += frame(entry.SerializeAsString());
    if (auto written = appendBytes(bytes); !written) {
        ::unlink(temporary.c_str());
        return written;
    }
    if (::rename(temporary.c_str(), path(logFile).c_str()) != 0)
        return fileFailure(temporary, "rename");
    return syncFolder(m_folder);
}

result<void> file_log_store::writeWhole(const char* name, const std::string& payload)
{
    auto temporary = path(name) + ".new";
    int descriptor = ::open(temporary.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
    if (descriptor < 0)
        return fileFailure(temporary, "open");
    auto written = writeAll(descriptor, frame(payload), temporary);
    if (written && ::fdatasync(descriptor) != 0)
        written = fileFailure(temporary, "sync");
    ::close(descriptor);
    if (!written) {
        // A part of a file would go on taking room from a disk that is full.
        ::unlink(temporary.c_str());
        return written;
    }
    if (::rename(temporary.c_str(), path(name).c_str()) != 0)
        return fileFailure(temporary, "rename");
    return syncFolder(m_folder);
}

result<std::string> file_log_store::readWhole(const char* name, bool& present) const
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
