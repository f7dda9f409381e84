// Entry point of martencove, a request scheduler for storage nodes. Parses the command line and calls
// src/cli.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cli/program.h"
#ifdef MARTENCOVE_OPERATOR
#include "cli/nodes.h"
#endif

namespace {

using namespace martencove;

OperatorSections readSections(const std::string& file, Config& config) {
#ifdef MARTENCOVE_OPERATOR
    if (file.empty()) return {};
    OperatorSections sections = readOperatorConfig(file, config.settings, config.limits);
    // Sections that this build does not support are errors rather than ignored.
#ifndef MARTENCOVE_ETCD
    if (sections.etcd) throw ConfigError(file + ": etcd: not in this build (CMake option MARTENCOVE_ETCD)");
#endif
#ifndef MARTENCOVE_XDS
    if (sections.xdsListen)
        throw ConfigError(file + ": xds: not in this build (CMake option MARTENCOVE_XDS)");
#endif
    return sections;
#else
    (void)config;
    if (!file.empty()) throw ConfigError("--operator: not in this build (CMake option MARTENCOVE_OPERATOR)");
    return {};
#endif
}

int serve(const std::string& file, LogFormat logFormat) {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);  // until a configuration is loaded that SIGHUP can reload
    std::signal(SIGTERM, [](int) { std::_Exit(EXIT_SUCCESS); });  // until requests may have been accepted
    Config config = readConfig();
    OperatorSections sections = readSections(file, config);
    Program(std::move(config), std::move(sections), logFormat).run();
    return 0;
}

int check(const std::string& file) {
    Config config = readConfig();
    const OperatorSections sections = readSections(file, config);
#ifdef MARTENCOVE_OPERATOR
    if (sections.nodeFiles) {
        const int exitCode = cli::checkNodes(sections.nodeFiles->paths);
        if (exitCode != cli::kExitOk) return exitCode;
    }
#else
    (void)sections;
#endif
    std::puts("configuration: valid");
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "martencove shares storage nodes fairly among volumes: it accepts requests, decides which are sent "
        "to a node now, which wait and which are refused, and answers each exactly once.",
        "martencove"};
    app.footer(
        "The environment variable NODE_CONFIG names the configuration file. "
        "Exit codes: 0 success, 1 failure, 2 wrong usage, 3 the checked input is invalid.");
    app.require_subcommand(0, 1);
    std::string file;
    const auto addOperatorOption = [&](CLI::App& command) {
        command.add_option("--operator", file, "the operator's file (protobuf text format)")
            ->type_name("FILE");
    };
    addOperatorOption(app);
    LogFormat logFormat = LogFormat::text;
    const std::map<std::string, LogFormat> logFormats{{"text", LogFormat::text}, {"json", LogFormat::json}};
    const auto addLogOption = [&](CLI::App& command) {
        command.add_option("--log", logFormat, "log format")
            ->type_name("text|json")
            ->transform(CLI::CheckedTransformer(logFormats, CLI::ignore_case).description(""));
    };
    addLogOption(app);
    std::function<int()> run = [&] { return serve(file, logFormat); };

    CLI::App* serveCommand = app.add_subcommand("serve", "run the scheduler (default)");
    addOperatorOption(*serveCommand);
    addLogOption(*serveCommand);
    CLI::App* checkCommand = app.add_subcommand(
        "check", "check the configuration, the operator's file and the node files that it names");
    addOperatorOption(*checkCommand);
    checkCommand->callback([&] { run = [&] { return check(file); }; });
    app.add_subcommand("version", "print the version")->callback([&] {
        run = [] {
            std::puts("martencove " MARTENCOVE_VERSION);
            return 0;
        };
    });
#ifdef MARTENCOVE_OPERATOR
    CLI::App* nodesCommand = app.add_subcommand("nodes", "manage node files");
    nodesCommand->require_subcommand(1);
    std::vector<std::string> paths;
    std::string before, after, argument;
    CLI::App* nodesCheck =
        nodesCommand->add_subcommand("check", "check node files as the program does at startup");
    nodesCheck->add_option("path", paths, "files, or directories of *.textproto files")->required();
    nodesCheck->callback([&] { run = [&] { return cli::checkNodes(paths); }; });
    CLI::App* nodesDiff = nodesCommand->add_subcommand("diff", "print the changes between two versions");
    nodesDiff->add_option("before", before, "a file or directory")->required();
    nodesDiff->add_option("after", after, "a file or directory")->required();
    nodesDiff->callback([&] { run = [&] { return cli::diffNodes(before, after); }; });
    CLI::App* nodesSeal =
        nodesCommand->add_subcommand("seal", "update a file's node count and trailer line after an edit");
    nodesSeal->add_option("path", argument, "the file")->required();
    nodesSeal->callback([&] { run = [&] { return cli::sealNodes(argument); }; });
    CLI::App* nodesShow =
        nodesCommand->add_subcommand("show", "print the active version of a running scheduler");
    nodesShow->add_option("address", argument, "client address of the scheduler, host:port")->required();
    nodesShow->callback([&] { run = [&] { return cli::showNodes(argument); }; });
#endif
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    try {
        return run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "martencove: %s\n", error.what());
        return 1;
    }
}
