#include "tools/ctl/CommandTable.h"

#include <absl/strings/str_split.h>
#include <fmt/format.h>

namespace lagoonspoke {

namespace {

constexpr Verb verbs[] = {
    { "ticket submit", "FILE", 1,
        "Submits the change ticket in FILE (- for standard input). Submitting the same ticket again changes nothing.\n"
        "A ticket whose number was taken meanwhile is refused, with the objects that changed.",
        submitTicketFile },
    { "ticket show", "N", 1, "Shows ticket N, its digest and whether it is accepted.", showTicket },
    { "ticket list", "", 0, "Lists every ticket and whether it is accepted.", listTickets },
    { "ticket diff", "A B", 2,
        "Lists the objects that the tickets after A up to B changed, with their state at B. A may be 0.", diffTickets },
    { "status", "", 0,
        "Shows the accepted configuration's number and size, and a ticket left behind by a lost operator.",
        showStatus },
    { "key issue", "TEAM", 1, "Makes a new key for TEAM and shows it once. Only its digest is stored.", issueKey },
    { "key withdraw", "TEAM DIGEST", 2, "Withdraws the key of TEAM with the given digest (64 hexadecimal digits).",
        withdrawKey },
    { "explain", "ID", 1,
        "Reads the logs of instances from standard input, several one after the other, and prints the lines about the\n"
        "request ID in order of time, with what decided it. ID is the caller's or the request's own. Example:\n"
        "  cat /var/log/lagoonspoke/*.log | lagoonspokectl explain 9c41d07be2a35f68",
        explainRequest, false },
};

constexpr std::string_view common
    = "Flags:\n"
      "  --store=IP:port   address of the object store; required but for explain\n"
      "  --output=json     JSON instead of tables\n"
      "  --timeout-ms=N    bound of one store call, 5000 by default\n"
      "  --help            help of the verb\n"
      "Exit codes: 0 done, 1 failed, 2 usage or invalid input, 3 refused because of a conflict,\n"
      "            4 the store is unavailable or the effect is unknown\n";

} // namespace

Command findCommand(std::span<const std::string> words)
{
    for (const auto& verb : verbs) {
        std::vector<std::string> parts = absl::StrSplit(std::string(verb.name), ' ');
        if (words.size() >= parts.size() && std::equal(parts.begin(), parts.end(), words.begin())) {
            return { &verb, { words.begin() + static_cast<std::ptrdiff_t>(parts.size()), words.end() } };
        }
    }
    return {};
}

std::string formatHelp(const Verb* verb)
{
    if (verb) {
        return fmt::format("lagoonspokectl {}{}{}{}\n\n{}\n\n{}", verb->name, verb->argumentCount > 0 ? " " : "",
            verb->arguments, verb->usesStore ? " --store=IP:port" : " < LOGS", verb->help, common);
    }
    std::string text = "lagoonspokectl VERB: changes and shows the configuration.\n\nVerbs:\n";
    for (const auto& it : verbs) {
        text += fmt::format("  {} {}\n", it.name, it.arguments);
    }
    return text + "\n" + std::string(common);
}

} // namespace lagoonspoke
