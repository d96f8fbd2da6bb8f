#include "Support/fleet.h"
#include "Support/golden.h"

#include <catch2/catch.hpp>

using namespace pistachiolatch::test;

namespace {
const std::string build = PISTACHIOLATCH_BUILD_FOLDER;

std::string transcript(const std::string& shown, const command_output& output)
{
    return "$ " + shown + "\n" + output.out + output.err + "exit " + std::to_string(output.code) + "\n\n";
}
}

// A whole session of an operator who remembers nothing from the last visit: look, export, edit, apply, read back.
TEST_CASE("An operator's session reads as expected")
{
    fleet where({});
    where.start();
    std::string session;
    auto run = [&](std::vector<std::string> arguments) {
        std::string shown = "pistachiolatch";
        for (const auto& argument : arguments)
            shown += " " + argument;
        auto output = where.command(arguments);
        session += transcript(shown, output);
        return output;
    };
    auto all = run({ "get", "limit" }).out;
    auto edited = where.file("edited.toml", normalise(all, { { "rate = 1000000", "rate = 250000" } }));
    run({ "diff", edited });
    run({ "apply", edited });
    run({ "apply", edited });
    run({ "get", "limit", "alpha" });
    auto conflicting = where.file("conflicting.toml", "[[limit]]\nname = \"alpha\"\nversion = 1\nrate = 7\nburst = 7\n");
    run({ "apply", conflicting });
    run({ "apply", where.file("wrong.toml", "[[limit]]\nname = \"alpha\"\nversion = 2\nrate = \"fast\"\nburst = 7\n") });
    run({ "apply", where.file("unknown.toml", "[[limit]]\nname = \"alpha\"\nversion = 2\nrate = 9\nburst = 9\ncolour = \"red\"\n") });
    run({ "apply", where.file("kind.toml", "[[tenant]]\nname = \"alpha\"\n") });
    run({ "apply", where.file("broken.toml", "[[limit]\nname = 1\n") });
    run({ "apply", where.folder() + "/missing.toml" });
    run({ "apply", where.file("newer.toml", "[[limit]]\nname = \"alpha\"\nversion = 2\nschema_version = 9\nrate = 9\nburst = 9\nfuture = true\n") });
    auto issued = run({ "key", "issue", "alpha" }).out;
    auto begin = issued.find("id=") + 3;
    auto id = issued.substr(begin, issued.find('\n') == std::string::npos ? 0 : issued.find('\n', begin) - begin);
    run({ "key", "withdraw", id });
    run({ "key", "withdraw", "nobody" });
    run({ "key", "issue", "nobody" });
    run({ "remove", "limit", "beta" });
    run({ "get", "limit", "beta" });
    run({ "explain", "no/such" });
    run({ "explain", "vm9.00" });
    session = normalise(session, { { where.folder(), "FOLDER" }, { "alpha-[0-9a-f]{8}", "alpha-ID" }, { "pl-[0-9a-f]{64}", "pl-SECRET" } });
    CHECK(compareWithExpected("Command/expected/operator_session.txt", session) == "");
}

// Every program refuses bad settings before it starts anything: one line for each problem, exit code 2.
TEST_CASE("Bad input to programs is refused with file, line and key")
{
    fleet where({});
    std::string session;
    auto run = [&](const std::string& program, std::vector<std::string> arguments) {
        std::string shown = program;
        for (const auto& argument : arguments)
            shown += " " + argument;
        session += transcript(shown, runToEnd(build + "/" + program, arguments, where.folder() + "/bad"));
    };
    auto bad = where.file("bad.toml", "[vm]\nname = \"vm1\"\ndata_centre = 7\n[wire]\nlisten = \"localhost:1\"\npublic_key = \"short\"\nsecret_key = \"short\"\ncontrols = []\n[admin]\nlisten = \"127.0.0.1:99999\"\nverbose = true\n");
    for (const char* program : { "pistachiolatch-entry", "pistachiolatch-scheduler", "pistachiolatch-control" })
        run(program, { "--settings", bad, "--check" });
    run("pistachiolatch-entry", { "--settings", where.folder() + "/missing.toml" });
    run("pistachiolatch-entry", {});
    run("pistachiolatch-entry", { "--version" });
    run("pistachiolatch", { "check", where.file("operator-bad.toml", "controls = [\"here\"]\ntokn = \"x\"\n") });
    run("pistachiolatch", { "get" });
    run("pistachiolatch", { "fly" });
    run("pistachiolatch-load", { "--traffic", where.file("traffic.toml", "seed = 1\n[[stream]]\nname = \"a\"\norganisation = \"alpha\"\ntarget = \"m\"\nper_second = -3\nprompt_tokens = [1, 2]\n"), "--check" });
    run("pistachiolatch-load", { "--traffic", where.file("traffic2.toml", "speed = 1\n"), "--check" });
    CHECK(compareWithExpected("Command/expected/bad_input.txt", normalise(session, { { where.folder(), "FOLDER" } })) == "");
}

TEST_CASE("The example settings and traffic are good")
{
    fleet where({});
    auto utilities = std::string(PISTACHIOLATCH_TESTS_FOLDER) + "/../Utilities/";
    for (const char* program : { "entry", "scheduler", "control" }) {
        auto output = runToEnd(build + "/pistachiolatch-" + program, { "--settings", utilities + "examples/settings/" + program + ".toml", "--check" }, where.folder() + "/example");
        INFO(output.err);
        CHECK(output.code == 0);
    }
    CHECK(runToEnd(build + "/pistachiolatch", { "check", utilities + "examples/settings/operator.toml" }, where.folder() + "/example").code == 0);
    for (const char* traffic : { "dzintarlauks", "fosse-datum", "over-rate" })
        CHECK(runToEnd(build + "/pistachiolatch-load", { "--traffic", utilities + "traffic/" + traffic + ".toml", "--check" }, where.folder() + "/example").code == 0);
}

// A second process on the same address must say so and leave with code 2, not run half.
TEST_CASE("An address in use ends the start with a clear error")
{
    fleet where({});
    where.start();
    auto output = runToEnd(build + "/pistachiolatch-scheduler", { "--settings", where.folder() + "/scheduler1.toml" }, where.folder() + "/second");
    CHECK(output.code == 2);
    CHECK(output.err.find("can't listen on " + where.ip(1) + ":7102") != std::string::npos);
}
