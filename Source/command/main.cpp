#include "command/record_commands.h"
#include "command/report_commands.h"
#include "program/program.h"

#include <CLI/CLI.hpp>

namespace pistachiolatch {

namespace {
    struct command_arguments {
        std::string settings;
        std::string file;
        std::string kind;
        std::string name;
        std::string organisation;
        std::string keyId;
        std::string requestId;
        std::string dataCentre;
        bool withdraw = false;
    };

    void addCommands(CLI::App& app, command_arguments& arguments)
    {
        app.require_subcommand(1);
        app.add_option("--settings", arguments.settings, "TOML file with the control addresses and the operator's token")->envname("PISTACHIOLATCH_SETTINGS");
        auto* get = app.add_subcommand("get", "print the records in force as TOML");
        get->add_option("kind", arguments.kind, "print only records of this kind");
        get->add_option("name", arguments.name, "print only the record with this name");
        app.add_subcommand("diff", "show what apply would change")->add_option("file", arguments.file, "TOML file of records")->required();
        app.add_subcommand("apply", "submit records and wait until they are in force on every process")->add_option("file", arguments.file, "TOML file of records")->required();
        auto* remove = app.add_subcommand("remove", "remove a record");
        remove->add_option("kind", arguments.kind, "kind of the record")->required();
        remove->add_option("name", arguments.name, "name of the record")->required();
        auto* evacuate = app.add_subcommand("evacuate", "keep new work away from the endpoints of a data centre");
        evacuate->add_option("data-centre", arguments.dataCentre, "name of the data centre")->required();
        evacuate->add_flag("--withdraw", arguments.withdraw, "use the data centre again");
        app.add_subcommand("evacuations", "list the evacuated data centres");
        auto* key = app.add_subcommand("key", "issue and withdraw API keys of callers");
        key->require_subcommand(1);
        key->add_subcommand("issue", "generate a key, store its digest and print the key once")->add_option("organisation", arguments.organisation, "organisation that the key is for")->required();
        key->add_subcommand("withdraw", "withdraw a key on every process")->add_option("id", arguments.keyId, "id of the key")->required();
        app.add_subcommand("status", "show replicas, processes, shards and pools");
        app.add_subcommand("events", "show recent events of the fleet");
        app.add_subcommand("explain", "show how a request was handled")->add_option("request-id", arguments.requestId, "value of the X-Request-Id header")->required();
        app.add_subcommand("check", "validate a settings file of this command")->add_option("file", arguments.file, "settings file")->required();
        app.add_subcommand("wire-keys", "generate a key pair for [wire]");
        app.add_subcommand("operator-token", "generate an operator's token and its digest");
    }

    int runCommand(const CLI::App& app, const command_arguments& arguments)
    {
        if (app.got_subcommand("wire-keys"))
            return commandWireKeys();
        if (app.got_subcommand("operator-token"))
            return commandOperatorToken();
        bool checkOnly = app.got_subcommand("check");
        if (!checkOnly && arguments.settings.empty()) {
            fmt::print(stderr, "give --settings FILE or set PISTACHIOLATCH_SETTINGS\n");
            return exitBadInput;
        }
        auto settings = readCommandSettings(checkOnly ? arguments.file : arguments.settings);
        if (!settings) {
            fmt::print(stderr, "{}\n", settings.error().message);
            return exitBadInput;
        }
        if (checkOnly) {
            fmt::print("{}: settings are good\n", arguments.file);
            return exitOk;
        }
        operator_client client(settings.value());
        if (app.got_subcommand("get"))
            return commandGet(client, arguments.kind, arguments.name);
        if (app.got_subcommand("diff"))
            return commandDiff(client, arguments.file);
        if (app.got_subcommand("apply"))
            return commandApply(client, arguments.file);
        if (app.got_subcommand("remove"))
            return commandRemove(client, arguments.kind, arguments.name);
        if (app.got_subcommand("evacuate"))
            return commandEvacuate(client, arguments.dataCentre, !arguments.withdraw);
        if (app.got_subcommand("evacuations"))
            return commandEvacuations(client);
        if (app.got_subcommand("status"))
            return commandStatus(client);
        if (app.got_subcommand("events"))
            return commandEvents(client);
        if (app.got_subcommand("explain"))
            return commandExplain(client, arguments.requestId);
        const auto* key = app.get_subcommand("key");
        return key->got_subcommand("issue") ? commandKeyIssue(client, arguments.organisation) : commandKeyWithdraw(client, arguments.keyId);
    }
}

} // namespace pistachiolatch

int main(int argc, char** argv)
{
    using namespace pistachiolatch;
    CLI::App app("Operates a pistachiolatch fleet: submits records, prints the records in force and explains how requests were handled.", "pistachiolatch");
    app.set_version_flag("--version", std::string("pistachiolatch ") + PISTACHIOLATCH_VERSION);
    command_arguments arguments;
    addCommands(app, arguments);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exitOk : exitBadInput;
    }
    return runCommand(app, arguments);
}
