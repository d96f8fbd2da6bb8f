#include "Support/fleet.h"
#include "Support/golden.h"

#include <catch2/catch.hpp>

using namespace pistachiolatch::test;

namespace {
const std::string build = PISTACHIOLATCH_BUILD_FOLDER;

std::string formatRun(const std::string& commandLine, const command_output& output)
{
    return "$ " + commandLine + "\n" + output.out + output.err + "exit " + std::to_string(output.code) + "\n\n";
}
}

// Guards the command's output and exit codes: exports, edits, applies and reads back records, and submits invalid ones.
TEST_CASE("An operator's session prints the expected transcript")
{
    fleet where({});
    where.start();
    std::string transcript;
    auto run = [&](std::vector<std::string> arguments) {
        std::string commandLine = "pistachiolatch";
        for (const auto& argument : arguments)
            commandLine += " " + argument;
        auto output = where.command(arguments);
        transcript += formatRun(commandLine, output);
        return output;
    };
    auto exported = run({ "get", "limit" }).out;
    auto edited = where.file("edited.toml", normalise(exported, { { "rate = 1000000", "rate = 250000" } }));
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
    run({ "evacuations" });
    run({ "evacuate", "riga a" });
    run({ "evacuate", "riga-a" });
    run({ "evacuate", "riga-a" });
    run({ "evacuations" });
    run({ "get", "evacuation" });
    run({ "evacuate", "riga-a", "--withdraw" });
    run({ "evacuate", "riga-a", "--withdraw" });
    run({ "evacuations" });
    run({ "explain", "no/such" });
    run({ "explain", "vm9.00" });
    transcript = normalise(transcript, { { where.folder(), "FOLDER" }, { "alpha-[0-9a-f]{8}", "alpha-ID" }, { "pl-[0-9a-f]{64}", "pl-SECRET" } });
    CHECK(compareWithExpected("Command/expected/operator_session.txt", transcript) == "");
}

// Every program rejects invalid settings before it starts: one line per problem, exit code 2.
TEST_CASE("Programs reject invalid input and name the file, line and key")
{
    fleet where({});
    std::string transcript;
    auto run = [&](const std::string& program, std::vector<std::string> arguments) {
        std::string commandLine = program;
        for (const auto& argument : arguments)
            commandLine += " " + argument;
        transcript += formatRun(commandLine, runToEnd(build + "/" + program, arguments, where.folder() + "/bad"));
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
    CHECK(compareWithExpected("Command/expected/bad_input.txt", normalise(transcript, { { where.folder(), "FOLDER" } })) == "");
}

TEST_CASE("The example settings and traffic files are valid")
{
    fleet where({});
    std::string utilities = PISTACHIOLATCH_TESTS_FOLDER "/../Utilities/";
    for (const char* program : { "entry", "scheduler", "control" }) {
        auto output = runToEnd(build + "/pistachiolatch-" + program, { "--settings", utilities + "examples/settings/" + program + ".toml", "--check" }, where.folder() + "/example");
        INFO(output.err);
        CHECK(output.code == 0);
    }
    CHECK(runToEnd(build + "/pistachiolatch", { "check", utilities + "examples/settings/operator.toml" }, where.folder() + "/example").code == 0);
    for (const char* traffic : { "dzintarlauks", "fosse-datum", "over-rate" })
        CHECK(runToEnd(build + "/pistachiolatch-load", { "--traffic", utilities + "traffic/" + traffic + ".toml", "--check" }, where.folder() + "/example").code == 0);
}

// A second process on an address in use must exit with code 2 and name the address, not keep running without its port.
TEST_CASE("A process exits with an error that names an address in use")
{
    fleet where({});
    where.start();
    auto output = runToEnd(build + "/pistachiolatch-scheduler", { "--settings", where.folder() + "/scheduler1.toml" }, where.folder() + "/second");
    CHECK(output.code == 2);
    CHECK(output.err.find("can't listen on " + where.ip(1) + ":7102") != std::string::npos);
}
