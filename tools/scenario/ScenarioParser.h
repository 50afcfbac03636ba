#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonspoke/core/Error.h"

namespace lagoonspoke {

// One line of a scenario: a verb, words, and options of the form key=value.
struct Command {
    int line = 0;
    std::string verb;
    std::vector<std::string> words;
    std::map<std::string, std::string> options;
};

// Reads the scenario language. Each line holds words and key=value options separated by blanks; a word or a value may
// be quoted with ' or "; # starts a comment. The error names the line.
Outcome<std::vector<Command>> parseScenario(std::string_view text);

} // namespace lagoonspoke
