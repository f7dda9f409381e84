// martencove: a request scheduler for storage nodes. Reads the command line; src/cli does what it says.
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

OperatorSections readExtras(const std::string& file, Config& config) {
#ifdef MARTENCOVE_OPERATOR
    if (file.empty()) return {};
    OperatorSections extras = readOperatorConfig(file, config.settings, config.limits);
    // A section that this build cannot serve is no section to pass over.
#ifndef MARTENCOVE_ETCD
    if (extras.etcd) throw ConfigError(file + ": etcd: not in this build (CMake option MARTENCOVE_ETCD)");
#endif
#ifndef MARTENCOVE_XDS
    if (extras.xds) throw ConfigError(file + ": xds: not in this build (CMake option MARTENCOVE_XDS)");
#endif
    return extras;
#else
    (void)config;
    if (!file.empty()) throw ConfigError("--operator: not in this build (CMake option MARTENCOVE_OPERATOR)");
    return {};
#endif
}

int serve(const std::string& file, LogFormat form) {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);  // until there is a configuration to read anew
    std::signal(SIGTERM, [](int) { std::_Exit(EXIT_SUCCESS); });  // until a request may have been taken
    Config config = readConfig();
    OperatorSections extras = readExtras(file, config);
    Program(std::move(config), std::move(extras), form).run();
    return 0;
}

int check(const std::string& file) {
    Config config = readConfig();
    const OperatorSections extras = readExtras(file, config);
#ifdef MARTENCOVE_OPERATOR
    if (extras.nodeFiles) {
        const int code = cli::checkNodes(extras.nodeFiles->paths);
        if (code != cli::kExitOk) return code;
    }
#else
    (void)extras;
#endif
    std::puts("configuration: good");
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "martencove shares storage nodes fairly among volumes: it takes requests, decides which go to a "
        "node now, which wait and which are refused, and answers each exactly once.",
        "martencove"};
    app.footer(
        "NODE_CONFIG names the platform's configuration. Exit codes: 0 done, 1 it cannot be done, 2 wrong "
        "usage, 3 what was checked is not fit to use.");
    app.require_subcommand(0, 1);
    std::string file;
    const auto addOperator = [&](CLI::App& to) {
        to.add_option("--operator", file, "the operator's file (protobuf text format)")->type_name("FILE");
    };
    addOperator(app);
    LogFormat form = LogFormat::text;
    const std::map<std::string, LogFormat> forms{{"text", LogFormat::text}, {"json", LogFormat::json}};
    const auto addLog = [&](CLI::App& to) {
        to.add_option("--log", form, "form of the log's lines")
            ->type_name("text|json")
            ->transform(CLI::CheckedTransformer(forms, CLI::ignore_case).description(""));
    };
    addLog(app);
    std::function<int()> run = [&] { return serve(file, form); };

    CLI::App* serving = app.add_subcommand("serve", "run the scheduler (what happens without a sub-command)");
    addOperator(*serving);
    addLog(*serving);
    CLI::App* checking = app.add_subcommand(
        "check", "check the configuration, the operator's file and the files that it names");
    addOperator(*checking);
    checking->callback([&] { run = [&] { return check(file); }; });
    app.add_subcommand("version", "print the version")->callback([&] {
        run = [] {
            std::puts("martencove " MARTENCOVE_VERSION);
            return 0;
        };
    });
#ifdef MARTENCOVE_OPERATOR
    CLI::App* nodes = app.add_subcommand("nodes", "files of storage nodes");
    nodes->require_subcommand(1);
    std::vector<std::string> paths;
    std::string before, after, one;
    CLI::App* checkFiles = nodes->add_subcommand("check", "judge files of nodes as a start would");
    checkFiles->add_option("path", paths, "files, or folders of *.textproto files")->required();
    checkFiles->callback([&] { run = [&] { return cli::checkNodes(paths); }; });
    CLI::App* diff = nodes->add_subcommand("diff", "tell the change from one version to another");
    diff->add_option("before", before, "a file or folder")->required();
    diff->add_option("after", after, "a file or folder")->required();
    diff->callback([&] { run = [&] { return cli::diffNodes(before, after); }; });
    CLI::App* seal =
        nodes->add_subcommand("seal", "put a file's count and its last line right, after an edit");
    seal->add_option("path", one, "the file")->required();
    seal->callback([&] { run = [&] { return cli::sealNodes(one); }; });
    CLI::App* show = nodes->add_subcommand("show", "ask a running scheduler for the version in force");
    show->add_option("address", one, "where its clients connect, host:port")->required();
    show->callback([&] { run = [&] { return cli::showNodes(one); }; });
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
