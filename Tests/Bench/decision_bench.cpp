// Measures the time of decisions and the size of state by fleet size, for docs/CAPACITY.md. Prints a Markdown table.
#include "limits/limits.h"
#include "records/records.h"
#include "scheduling/scheduling.h"
#include "wire/generated/pistachiolatch.pb.h"

#include <chrono>
#include <fmt/format.h>
#include <functional>
#include <malloc.h>

using namespace pistachiolatch;

namespace {
double measureMicros(int repetitions, const std::function<void(int)>& work)
{
    auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < repetitions; ++i)
        work(i);
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / repetitions;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

void printRow(const std::string& what, std::size_t size, double value, const char* unit)
{
    fmt::print("| {} | {} | {:.2f} | {} |\n", what, size, value, unit);
}

wire::endpoint_announcement makeAnnouncement(std::size_t number, const char* role, std::uint64_t sequence)
{
    wire::endpoint_announcement endpoint;
    endpoint.set_id(fmt::format("{}-{}", role, number));
    endpoint.set_incarnation(1);
    endpoint.set_sequence(sequence);
    endpoint.set_address("10.11.12.13:9000");
    endpoint.set_role(role);
    endpoint.set_model("advisor-llm");
    endpoint.set_model_version("v1");
    endpoint.set_slots(20);
    endpoint.set_memory_pieces(400);
    endpoint.set_prefill_tokens_per_s(40000);
    endpoint.set_step_us(30000);
    endpoint.set_link_mbps(10000);
    endpoint.set_kv_bytes_per_token(20000);
    return endpoint;
}

pool_request makeRequest(int number, const std::string& organisation)
{
    pool_request request;
    request.place.set_shard("model:advisor-llm");
    request.place.set_request_id(fmt::format("vm1.{:024}", number));
    request.place.set_organisation(organisation);
    request.place.set_prompt_tokens(1000);
    request.place.set_max_tokens(100);
    request.place.set_patience_ms(5000);
    request.place.set_fingerprint(static_cast<std::uint64_t>(number));
    request.entryName = "vm1";
    request.entryAddress = "10.11.12.1:7101";
    return request;
}

void finishRequest(pool& decisions, const wire::placement& placement, time_point now)
{
    wire::progress report;
    report.set_request_id(placement.request_id());
    for (auto stage : { wire::STAGE_PREFILLED, wire::STAGE_TRANSFERRED, wire::STAGE_FINISHED }) {
        report.set_stage(stage);
        decisions.handleProgress(report, now);
    }
}

void measurePool(std::size_t endpoints, std::size_t organisations)
{
    manual_clock_source clock;
    auto before = heapBytes();
    pool decisions("model:advisor-llm", pool_kind::Model, {}, {});
    for (std::size_t i = 0; i < endpoints; ++i)
        decisions.handleAnnouncement(makeAnnouncement(i, i % 3 == 0 ? "prefill" : "decode", 1), milliseconds(0), clock.now());
    if (organisations == 1)
        printRow("pool: bytes an endpoint", endpoints, static_cast<double>(heapBytes() - before) / static_cast<double>(endpoints), "bytes");
    auto averageMicros = measureMicros(400, [&](int i) {
        decisions.submit(makeRequest(i, fmt::format("organisation-{}", static_cast<std::size_t>(i) % organisations)), clock.now());
        for (const auto& decision : decisions.schedule(clock.now()))
            finishRequest(decisions, decision.placement, clock.now());
    });
    printRow(organisations == 1 ? "pool: a request placed and finished, by endpoints" : "pool: a request placed and finished, by organisations (100 endpoints)", organisations == 1 ? endpoints : organisations, averageMicros, "us");
    if (organisations > 1)
        return;
    auto announceMicros = measureMicros(2000, [&](int i) {
        decisions.handleAnnouncement(makeAnnouncement(static_cast<std::size_t>(i) % endpoints, "decode", 2 + static_cast<std::uint64_t>(i)), milliseconds(0), clock.now());
    });
    printRow("pool: an announcement taken", endpoints, announceMicros, "us");
}

void measureInFlight()
{
    manual_clock_source clock;
    pool_settings settings;
    settings.policy = "round_robin";
    pool decisions("model:advisor-llm", pool_kind::Model, settings, {});
    for (std::size_t i = 0; i < 30; ++i)
        decisions.handleAnnouncement(makeAnnouncement(i, i % 3 == 0 ? "prefill" : "decode", 1), milliseconds(0), clock.now());
    constexpr int requests = 10000;
    auto before = heapBytes();
    for (int i = 0; i < requests; ++i) {
        decisions.submit(makeRequest(i, "alpha"), clock.now());
        decisions.schedule(clock.now());
    }
    printRow("pool: bytes a request in flight", requests, static_cast<double>(heapBytes() - before) / requests, "bytes");
}

void measureLimits(std::size_t organisations)
{
    manual_clock_source clock;
    auto before = heapBytes();
    rate_limiter owner(clock.now());
    for (std::size_t i = 0; i < organisations; ++i)
        owner.configure(fmt::format("organisation-{}", i), 1000000, 1000000, clock.now());
    printRow("limits: bytes an organisation", organisations, static_cast<double>(heapBytes() - before) / static_cast<double>(organisations), "bytes");
    clock.advance(milliseconds(1000));
    auto requestMicros = measureMicros(5000, [&](int i) {
        owner.submit({ fmt::format("organisation-{}", static_cast<std::size_t>(i) % organisations), 100, 100, milliseconds(100), static_cast<std::uint64_t>(i) }, clock.now());
    });
    printRow("limits: a question", organisations, requestMicros, "us");
    printRow("limits: one step over all buckets", organisations, measureMicros(50, [&](int) { owner.collectDecisions(clock.now()); }), "us");
}

std::vector<wire::record> makeRecords(std::size_t organisations)
{
    std::vector<wire::record> records;
    for (std::size_t i = 0; i < organisations; ++i) {
        auto name = fmt::format("organisation-{}", i);
        wire::record record;
        record.set_name(name);
        record.set_version(1);
        record.set_schema_version(2);
        record.set_submitter("anna");
        record.set_kind("organisation");
        record.set_body(R"({"models":["advisor-llm"],"services":["orderdesk"],"weight":1})");
        records.push_back(record);
        record.set_kind("limit");
        record.set_body(R"({"burst":300000,"in_flight_share":60,"rate":100000})");
        records.push_back(record);
        record.set_kind("key");
        record.set_schema_version(1);
        record.set_body(fmt::format(R"({{"organisation":"{}","sha256":"{}","withdrawn":false}})", name, sha256Hex(name)));
        records.push_back(record);
    }
    return records;
}

void measureConfig(std::size_t organisations)
{
    auto records = makeRecords(organisations);
    std::vector<std::string> problems;
    auto before = heapBytes();
    std::shared_ptr<const config_view> view = std::make_shared<config_view>();
    view = config_view::applyChanges(*view, 1, records, problems);
    printRow("entry: bytes of configuration an organisation", organisations, static_cast<double>(heapBytes() - before) / static_cast<double>(organisations), "bytes");
    printRow("entry: one change applied", organisations, measureMicros(5, [&](int i) { view = config_view::applyChanges(*view, 2 + static_cast<std::uint64_t>(i), { records.front() }, problems); }), "us");
    printRow("entry: a key looked up", organisations, measureMicros(20000, [&](int i) { (void)view->findKeyByDigest(sha256Hex(fmt::format("organisation-{}", static_cast<std::size_t>(i) % organisations))); }), "us");

    before = heapBytes();
    control_state state;
    wire::command command;
    for (const auto& record : records)
        *command.mutable_submit()->add_records() = record;
    state.apply(command);
    printRow("control: bytes of state an organisation", organisations, static_cast<double>(heapBytes() - before) / static_cast<double>(organisations), "bytes");
    std::string image;
    printRow("control: a snapshot made", organisations, measureMicros(2, [&](int) { image = state.save(); }), "us");
    printRow("control: bytes of a snapshot an organisation", organisations, static_cast<double>(image.size()) / static_cast<double>(organisations), "bytes");
    printRow("control: records changed since a revision found", organisations, measureMicros(20, [&](int) { (void)state.recordsAfter(1); }), "us");
}

void measureSessions(std::size_t processes)
{
    manual_clock_source clock;
    session_table sessions(clock.now());
    wire::session_heartbeat heartbeat;
    auto averageMicros = measureMicros(20000, [&](int i) {
        heartbeat.set_kind(i % 2 ? wire::PROCESS_ENTRY : wire::PROCESS_SCHEDULER);
        sessions.applyHeartbeat(fmt::format("vm{}", static_cast<std::size_t>(i) % processes), 1, "10.11.12.13:7101", heartbeat, clock.now());
    });
    printRow("control: a heartbeat taken", processes, averageMicros, "us");
}

void measureMessages()
{
    wire::envelope place;
    place.set_sender("vm123");
    place.set_sender_address("10.11.12.13:7101");
    place.set_sender_incarnation(1);
    place.set_sequence(100000);
    place.set_call(100000);
    *place.mutable_place() = makeRequest(1, "organisation-1234").place;
    printRow("message: a place request", 1, static_cast<double>(place.ByteSizeLong()), "bytes");
    wire::envelope progress = place;
    progress.clear_place();
    progress.mutable_progress()->set_shard("model:advisor-llm");
    progress.mutable_progress()->set_request_id(fmt::format("vm1.{:024}", 1));
    printRow("message: a progress report", 1, static_cast<double>(progress.ByteSizeLong()), "bytes");
    wire::envelope announce = place;
    announce.clear_place();
    *announce.mutable_announce()->mutable_endpoint() = makeAnnouncement(1234, "decode", 100000);
    printRow("message: an announcement forwarded", 1, static_cast<double>(announce.ByteSizeLong()), "bytes");
    wire::envelope limit = place;
    limit.clear_place();
    limit.mutable_limit()->set_shard("limit:1");
    limit.mutable_limit()->set_organisation("organisation-1234");
    limit.mutable_limit()->set_need(2000);
    printRow("message: a limit question", 1, static_cast<double>(limit.ByteSizeLong()), "bytes");
    wire::envelope heartbeat = place;
    heartbeat.clear_place();
    heartbeat.mutable_heartbeat()->set_data_centre("riga-a");
    heartbeat.mutable_heartbeat()->set_applied_revision(100000);
    heartbeat.mutable_heartbeat()->set_sent_ns(1LL << 50);
    printRow("message: a heartbeat", 1, static_cast<double>(heartbeat.ByteSizeLong()), "bytes");
}
}

int main()
{
    fmt::print("| what | size | value | unit |\n|---|---|---|---|\n");
    for (std::size_t endpoints : { 10, 100, 1000, 4200 })
        measurePool(endpoints, 1);
    for (std::size_t organisations : { 10, 100, 1000, 12000 })
        measurePool(100, organisations);
    measureInFlight();
    for (std::size_t organisations : { 10, 100, 1000, 12000 }) {
        measureLimits(organisations);
        measureConfig(organisations);
    }
    for (std::size_t processes : { 14, 100, 780 })
        measureSessions(processes);
    measureMessages();
    return 0;
}
