#pragma once

#include <span>
#include <string>
#include <vector>

#include "tools/ctl/Verbs.h"

namespace lagoonspoke {

// The verb that the words name and the arguments that follow it.
struct Command {
    const Verb* verb = nullptr;
    std::vector<std::string> arguments;
};

// Null in the result for words that name no verb.
Command findCommand(std::span<const std::string> words);

// Help of one verb, or of all verbs for null.
std::string formatHelp(const Verb*);

} // namespace lagoonspoke
