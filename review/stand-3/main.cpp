// Runs one case: CASE RECORD. Returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
#include "Cases.h"

#include <csignal>
#include <cstring>
#include <exception>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3) {
        return stand::CannotRun;
    }
    stand::Record record(argv[2]);
    try {
        for (const auto &[name, run] : stand::Cases) {
            if (std::strcmp(name, argv[1]) == 0) {
                const int code = run(record);
                record.line(code == stand::Held ? "the rule held" : code == stand::Broken ? "the rule was BROKEN" : "the case could not run");
                return code;
            }
        }
    } catch (const std::exception &error) {
        record.line(std::string("could not run: ") + error.what());
    }
    return stand::CannotRun;
}
