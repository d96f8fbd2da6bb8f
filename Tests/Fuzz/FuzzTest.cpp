#include "consensus/consensus.h"
#include "endpoints/endpoints.h"
#include "entry/completion_format.h"
#include "http/http_server.h"
#include "membership/membership.h"
#include "platform_documents.h"
#include "records/records.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <unistd.h>

using namespace pistachiolatch;

namespace {
/// Applies one to six random mutations: overwritten bytes, deletions, inserted fragments and repetitions.
std::string mutate(std::string text, std::mt19937_64& random)
{
    static const std::vector<std::string> fragments { "{", "}", "[", "]", "\"", "\\", "null", "-1", "1e999", "\xff", std::string(1, '\0'), "99999999999999999999", "\\ud800" };
    for (auto mutations = 1 + random() % 6; mutations > 0; --mutations) {
        auto position = text.empty() ? 0 : random() % text.size();
        switch (random() % 4) {
        case 0:
            if (!text.empty())
                text[position] = static_cast<char>(random());
            break;
        case 1:
            text.erase(position, random() % 8);
            break;
        case 2:
            text.insert(position, fragments[random() % fragments.size()]);
            break;
        default:
            text.insert(position, text.substr(position, random() % 32));
            break;
        }
    }
    return text;
}

constexpr int iterations = 20000;

constexpr const char* validReport = R"({"service":"s","address":"127.0.0.1:8080","zone":"a","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"sequence":5,"born":1700000000000})";

/// A report of which one field, or one not read, has another value; half of them are mutated besides.
std::string mutateReport(std::mt19937_64& random)
{
    static const std::vector<std::string> fields { "service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence", "born" };
    static const std::vector<std::string> values { "1e400", "-1e400", "-0", "-0.0", "-1", "0", "7.5", "null", "{}", "18446744073709551615", "18446744073709551616", "9223372036854775808", std::string(400, '9'),
        std::string(40, '[') + std::string(40, ']'), std::string(100000, '['), "\"\"", "\"draining\"", "\"other\"", "\"127.0.0.1:65536\"", "\"127.0.0.1:73616\"", "\"127.0.0.1:99999999999999999999\"", "\"127.0.0.1:0\"",
        "\"127.0.0.1:08080\"", "\"127.0.0.1:-1\"", "\"127.0.0.1:\"", "\"127.0.0.1\\u0000\\r\\nX: y:80\"", "\"127.0.0.2:80\"", "\"127.0.0.1:65535\"" };
    std::string text = validReport;
    const auto& value = values[random() % values.size()];
    auto name = "\"" + fields[random() % fields.size()] + "\":";
    auto begin = text.find(name) + name.size();
    auto end = text.find_first_of(",}", begin);
    if (random() % 8 == 0)
        text.insert(1, "\"other\":" + value + ",");
    else
        text.replace(begin, end - begin, value);
    return random() % 2 == 0 || value.size() > 1000 ? text : mutate(text, random);
}
}

TEST_CASE("Mutated request bodies are parsed or rejected with a message")
{
    std::mt19937_64 random(1);
    const std::string completion = R"({"model":"m","prompt":"hello","max_tokens":5,"stream":true,"temperature":0.5})";
    const std::string chat = R"({"model":"m","messages":[{"role":"user","content":"hello"},{"role":"system","content":"x"}],"n":1})";
    int parsedCount = 0;
    for (int i = 0; i < iterations; ++i) {
        auto request = parseCompletion(mutate(i % 2 ? chat : completion, random), i % 2 != 0);
        if (!request) {
            CHECK(!request.error().message.empty());
            continue;
        }
        ++parsedCount;
        CHECK(!request.value().model.empty());
        CHECK(request.value().maxTokens <= 1000000);
    }
    CHECK(parsedCount > 0);
}

TEST_CASE("Mutated announcements are parsed or rejected")
{
    std::mt19937_64 random(2);
    const std::string valid = R"({"id":"d1","incarnation":18446744073709551615,"sequence":1,"address":"127.0.0.1:9000","role":"decode","model":"m","slots":20,"cached_prefixes":[1,2]})";
    REQUIRE(parseAnnouncement(valid));
    for (int i = 0; i < iterations; ++i) {
        auto announcement = parseAnnouncement(mutate(valid, random));
        if (announcement)
            CHECK(isAddress(announcement.value().address()));
    }
}

// Guards against reports of other writers that hide a header in an address, or that end the process that connects to it.
TEST_CASE("Mutated reports of endpoints are refused with a message or usable")
{
    std::mt19937_64 random(6);
    int accepted = 0;
    for (int i = 0; i < iterations; ++i) {
        auto report = decodeReport("a", mutateReport(random));
        if (!report) {
            CHECK(isPlainText(report.error().message));
            CHECK(!report.error().message.empty());
            continue;
        }
        ++accepted;
        REQUIRE(checkReport(report.value()));
        REQUIRE(isPlainText(report.value().address()));
        CHECK(parseAddress(report.value().address()).port() > 0);
        CHECK(fmt::format("{}:{}", parseAddress(report.value().address()).address().to_string(), parseAddress(report.value().address()).port()) == report.value().address());
    }
    CHECK(accepted > iterations / 100);
    CHECK(accepted < iterations);
}

// Guards against endpoints that are lost because of one report of another writer, whatever it claims.
TEST_CASE("An endpoint that goes on reporting is back soon after any mutated report under its id or another one")
{
    std::mt19937_64 random(7);
    // The longest time is that of a run that claims to be later.
    constexpr int maxReports = 10;
    for (int i = 0; i < iterations / 10; ++i) {
        manual_clock_source clock;
        endpoint_directory directory(1, {});
        auto own = decodeReport("a", validReport).value();
        auto report = [&] {
            clock.advance(std::chrono::seconds(1));
            directory.applyReport(own, clock.now());
            directory.expire(clock.now());
            own.set_sequence(own.sequence() + 1);
        };
        report();
        report();
        auto body = mutateReport(random);
        auto odd = decodeReport(i % 2 ? "a" : "odd", body);
        if (!odd)
            continue;
        directory.applyReport(odd.value(), clock.now());
        for (int n = 0; n < maxReports; ++n)
            report();
        const auto* row = directory.find("a");
        INFO(body);
        REQUIRE(row);
        CHECK_FALSE(row->silent());
        CHECK(row->report().state() == wire::ENDPOINT_SERVING);
        CHECK(row->report().service() == own.service());
        CHECK(row->report().address() == own.address());
        CHECK(row->report().born_ms() == own.born_ms());
    }
}

TEST_CASE("Mutated records are accepted only if they are valid")
{
    std::mt19937_64 random(3);
    const std::string body = R"({"burst":1000,"rate":1000})";
    for (int i = 0; i < iterations; ++i) {
        wire::record record;
        record.set_kind("limit");
        record.set_name("alpha");
        record.set_version(1);
        record.set_schema_version(1 + random() % 2);
        record.set_body(mutate(body, random));
        control_state state;
        wire::command command;
        *command.mutable_submit()->add_records() = record;
        auto outcome = *state.apply(command).submit;
        CHECK((outcome.status == submit_status::Accepted) == static_cast<bool>(decodeLimit(record)));
    }
}

TEST_CASE("Mutated messages between processes and snapshots are parsed or rejected")
{
    google::protobuf::SetLogHandler(nullptr);
    std::mt19937_64 random(4);
    wire::envelope envelope;
    envelope.set_sender("vm1");
    envelope.mutable_raft()->add_entries()->set_data("data");
    envelope.mutable_raft()->mutable_snapshot()->set_state("state");
    auto bytes = envelope.SerializeAsString();
    raft_core core([] { wire::replica_id id; id.set_vm("vm1"); return id; }(), {}, 1, {}, time_point {});
    for (int i = 0; i < iterations; ++i) {
        wire::envelope parsed;
        if (parsed.ParseFromString(mutate(bytes, random)) && parsed.has_raft())
            core.step(parsed.raft(), time_point {});
        control_state state;
        (void)state.load(mutate(bytes, random));
    }
}

// A damaged log must yield a prefix of the written entries or fail to open; it must never yield other entries.
TEST_CASE("A mutated log yields a prefix of its entries or fails to open")
{
    std::mt19937_64 random(5);
    auto folder = (std::filesystem::temp_directory_path() / ("pistachiolatch-fuzz-" + std::to_string(::getpid()))).string();
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    {
        file_log_store store;
        REQUIRE(store.open(folder));
        raft_write ready;
        for (std::uint64_t index = 1; index <= 20; ++index) {
            wire::log_entry entry;
            entry.set_index(index);
            entry.set_term(1);
            entry.set_data(std::string(index * 3, 'd'));
            ready.append.push_back(entry);
        }
        REQUIRE(store.persist(ready));
    }
    std::ifstream file(folder + "/log", std::ios::binary);
    std::string valid((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    int rejected = 0;
    for (int i = 0; i < 400; ++i) {
        std::ofstream(folder + "/log", std::ios::binary) << mutate(valid, random);
        file_log_store store;
        auto replica = store.open(folder);
        if (!replica) {
            ++rejected;
            continue;
        }
        const auto& entries = replica.value().restored.entries;
        for (std::size_t n = 0; n < entries.size(); ++n)
            REQUIRE((entries[n].index() == n + 1 && entries[n].data().size() == (n + 1) * 3));
    }
    CHECK(rejected > 200);
    std::filesystem::remove_all(folder);
}

TEST_CASE("A mutated settings file is read or rejected with a message that names the file")
{
    std::mt19937_64 random(6);
    auto path = (std::filesystem::temp_directory_path() / ("pistachiolatch-fuzz-" + std::to_string(::getpid()) + ".toml")).string();
    const std::string valid = "[vm]\nname = \"vm1\"\n[wire]\nlisten = \"127.0.0.1:1\"\n[[operator]]\nname = \"a\"\n";
    for (int i = 0; i < 2000; ++i) {
        std::ofstream(path, std::ios::binary) << mutate(valid, random);
        auto reader = settings_reader::load(path);
        if (!reader) {
            CHECK(reader.error().message.find(path) != std::string::npos);
            continue;
        }
        reader.value().text("vm.name");
        reader.value().address("wire.listen");
        reader.value().tables("operator", { "name" });
        (void)reader.value().finish();
    }
    std::filesystem::remove(path);
}
