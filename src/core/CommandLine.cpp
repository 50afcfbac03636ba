#include "core/CommandLine.h"

#include <string_view>

namespace lagoonspoke {

void normaliseFlagNames(int argc, char** argv)
{
    for (int i = 1; i < argc; ++i) {
        std::string_view argument(argv[i]);
        if (argument == "--") {
            return;
        }
        if (!argument.starts_with("--")) {
            continue;
        }
        for (char* c = argv[i] + 2; *c && *c != '='; ++c) {
            if (*c == '-') {
                *c = '_';
            }
        }
    }
}

} // namespace lagoonspoke
