#include "Apply.h"
#include "Explain.h"
#include "Folder.h"
#include "Show.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(platform, "", "IP:port of the platform's object API (apply, diff)");
DEFINE_string(instance, "", "IP:port of an instance; status and timeline take several, separated by commas");
DEFINE_string(operator_key, "", "the operators' key; default: the environment variable TREFOIL_OPERATOR_KEY");
DEFINE_bool(json, false, "print JSON");
DEFINE_bool(prune, false, "apply, diff: remove accepted files that are missing from the folder");
DEFINE_bool(replace_pending, false, "apply: replace another operator's pending change");
DEFINE_int32(wait_ms, 10000, "apply: how long to wait for acceptance, in milliseconds");
DEFINE_string(trace, "", "timeline: write the events to this file in the Trace Event format instead of printing them");

namespace {

/// The arguments after the name of the command, without flags.
using Arguments = std::vector<std::string>;

/// A command with its help, what it requires on the command line, and the function that runs it.
struct Command {
    /// The arguments as the help shows them.
    std::string arguments;
    /// What the command does, for the help.
    std::string text;
    /// Minimum number of arguments.
    std::size_t argumentCount = 0;
    /// The flag --platform is required.
    bool needsPlatform = false;
    /// The flag --instance is required.
    bool needsInstance = false;
    std::function<ExitCode(const Arguments &)> run;
};

ApplyOptions applyOptions(const std::string &folder)
{
    return {folder, net::parseAddress(FLAGS_platform), FLAGS_prune, FLAGS_replace_pending, std::chrono::milliseconds(FLAGS_wait_ms), FLAGS_json};
}

ShowOptions showOptions()
{
    ShowOptions options;
    std::istringstream list(FLAGS_instance);
    for (std::string address; std::getline(list, address, ',');) {
        options.instances.push_back(net::parseAddress(address));
    }
    const char *fromEnvironment = std::getenv("TREFOIL_OPERATOR_KEY");
    options.operatorKey = FLAGS_operator_key.empty() && fromEnvironment != nullptr ? fromEnvironment : FLAGS_operator_key;
    options.json = FLAGS_json;
    return options;
}

/// Validates a folder of settings and prints its problems, or that it is valid.
ExitCode check(const std::string &folder)
{
    auto read = readFolder(folder);
    const auto *unreadable = std::get_if<std::vector<settings::Problem>>(&read);
    const auto problems = unreadable != nullptr ? *unreadable : problemsOf(std::get<std::vector<settings::SettingsFile>>(read));
    boost::json::array list;
    for (const settings::Problem &problem : problems) {
        std::cerr << settings::toString(problem) << "\n";
        list.push_back(boost::json::object{{"file", problem.file}, {"line", problem.line}, {"field", problem.field}, {"text", problem.text}});
    }
    if (FLAGS_json) {
        std::cout << boost::json::serialize(boost::json::object{{"valid", problems.empty()}, {"problems", list}}) << "\n";
    } else if (problems.empty()) {
        std::cout << "valid\n";
    }
    return problems.empty() ? ExitCode::Done : ExitCode::InvalidSettings;
}

/// Prints every setting with default, unit, range and description.
ExitCode listSettings()
{
    boost::json::array list;
    for (const settings::SettingDescription &setting : settings::describeSettings()) {
        const std::string name = setting.section + "." + setting.name;
        list.push_back(
            boost::json::object{{"name", name}, {"default", setting.defaultValue}, {"unit", setting.unit}, {"range", setting.range}, {"text", setting.text}});
        if (!FLAGS_json) {
            const std::string shown = setting.defaultValue.empty() ? "(none)" : setting.defaultValue;
            std::cout << name << "  default " << shown << "  " << setting.unit << "  " << setting.range << "  " << setting.text << "\n";
        }
    }
    if (FLAGS_json) {
        std::cout << boost::json::serialize(list) << "\n";
    }
    return ExitCode::Done;
}

/// Runs `route list` or `route explain NAME`.
ExitCode route(const Arguments &arguments)
{
    if (arguments[0] == "list") {
        return showRoutes(showOptions(), "");
    }
    if (arguments[0] == "explain" && arguments.size() > 1) {
        return showRoutes(showOptions(), arguments[1]);
    }
    std::cerr << "trefoilctl: usage: route list, or route explain NAME\n";
    return ExitCode::Usage;
}

using Commands = std::map<std::string, Command>;

/// The commands about settings.
Commands settingsCommands()
{
    return {
        {"check",
         {"FOLDER",
          "validates a folder of settings without contacting any server",
          1,
          false,
          false,
          [](const Arguments &a) {
              return check(a[0]);
          }}},
        {"apply",
         {"FOLDER",
          "merges a folder of settings into the accepted ones and waits until the change is in force",
          1,
          true,
          false,
          [](const Arguments &a) {
              return apply(applyOptions(a[0]));
          }}},
        {"diff",
         {"FOLDER",
          "lists the files that apply would change",
          1,
          true,
          false,
          [](const Arguments &a) {
              return diff(applyOptions(a[0]));
          }}},
        {"settings",
         {"",
          "lists every setting with default, unit and range",
          0,
          false,
          false,
          [](const Arguments &) {
              return listSettings();
          }}},
    };
}

/// The commands that show what instances know and have done.
Commands viewCommands()
{
    return {
        {"status",
         {"",
          "shows the state of the given instances",
          0,
          false,
          true,
          [](const Arguments &) {
              return showStatus(showOptions());
          }}},
        {"route", {"list | explain NAME", "lists the routes, or shows which pipeline and endpoints a call on a route would get", 1, false, true, route}},
        {"endpoints",
         {"",
          "lists the endpoints that an instance knows",
          0,
          false,
          true,
          [](const Arguments &) {
              return showEndpoints(showOptions());
          }}},
        {"instances",
         {"",
          "lists the instances that an instance knows",
          0,
          false,
          true,
          [](const Arguments &) {
              return showInstances(showOptions());
          }}},
        {"timeline",
         {"",
          "shows the events of all given instances in order",
          0,
          false,
          true,
          [](const Arguments &) {
              return showTimeline(showOptions(), FLAGS_trace);
          }}},
        {"explain",
         {"REQUEST LOG...",
          "shows the history and the outcome of a request from the instances' logs (files, or - for standard input)",
          2,
          false,
          false,
          [](const Arguments &a) {
              return explainRequest(a[0], {a.begin() + 1, a.end()}, FLAGS_json);
          }}},
    };
}

/// The commands that make instances do something.
Commands actionCommands()
{
    return {
        {"drain",
         {"ENDPOINT",
          "makes all instances give an endpoint no new work",
          1,
          false,
          true,
          [](const Arguments &a) {
              return drainEndpoint(showOptions(), a[0]);
          }}},
        {"lift",
         {"SIGNATURE",
          "ends a quarantine that status lists, on all instances",
          1,
          false,
          true,
          [](const Arguments &a) {
              return liftQuarantine(showOptions(), a[0]);
          }}},
    };
}

/// All commands by name.
const Commands &commands()
{
    static const Commands table = []() {
        Commands all = settingsCommands();
        all.merge(viewCommands());
        all.merge(actionCommands());
        return all;
    }();
    return table;
}

/// Returns the help text: commands, flags and exit codes.
std::string usage()
{
    std::ostringstream out;
    out << "command-line client for the operators of trefoilport\nusage: trefoilctl COMMAND [ARGUMENTS] [FLAGS]\n\n";
    for (const auto &[name, command] : commands()) {
        out << "  " << name << " " << command.arguments << "\n      " << command.text << "\n";
    }
    out << "\nflags: --platform IP:PORT --instance IP:PORT[,...] --operator_key KEY --json --prune --replace_pending --wait_ms N --trace FILE\n\n";
    out << "exit status:\n";
    for (const auto &[code, text] : ExitCodeTexts) {
        out << "  " << static_cast<int>(code) << "  " << text << "\n";
    }
    return out.str();
}

/// Returns whether the command line requests help or is empty.
bool isHelpRequested(int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--help" || argument == "-h" || argument == "help") {
            return true;
        }
    }
    return argc < 2;
}

/// Prints an error of the command line and returns the exit code Usage.
int fail(const std::string &text)
{
    std::cerr << "trefoilctl: " << text << "\n";
    return static_cast<int>(ExitCode::Usage);
}

} // namespace

int main(int argc, char **argv)
{
    if (isHelpRequested(argc, argv)) {
        std::cout << usage();
        return argc < 2 ? static_cast<int>(ExitCode::Usage) : 0;
    }
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto found = commands().find(argc > 1 ? argv[1] : "");
    if (found == commands().end()) {
        return fail("no such command; 'trefoilctl help' lists them");
    }
    const Command &command = found->second;
    const Arguments arguments(argv + 2, argv + argc);
    if (arguments.size() < command.argumentCount) {
        return fail(found->first + " needs " + command.arguments);
    }
    if (command.needsPlatform && net::parseAddress(FLAGS_platform).port == 0) {
        return fail(found->first + " needs --platform IP:PORT");
    }
    if (command.needsInstance && net::parseAddress(FLAGS_instance.substr(0, FLAGS_instance.find(','))).port == 0) {
        return fail(found->first + " needs --instance IP:PORT");
    }
    return static_cast<int>(command.run(arguments));
}
