#include "tools/scenario/ScenarioParser.h"

#include <absl/strings/str_split.h>
#include <boost/fusion/include/std_pair.hpp>
#include <boost/spirit/home/x3.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

namespace {

namespace x3 = boost::spirit::x3;

using Option = std::pair<std::string, std::string>;

const auto singleQuoted = x3::rule<struct SingleQuoted, std::string>()
    = x3::lexeme['\'' >> *(x3::char_ - '\'') >> '\''];
const auto doubleQuoted = x3::rule<struct DoubleQuoted, std::string>() = x3::lexeme['"' >> *(x3::char_ - '"') >> '"'];
const auto bareValue = x3::rule<struct BareValue, std::string>()
    = x3::lexeme[+(x3::char_ - x3::space - x3::char_("#'\""))];
const auto value = x3::rule<struct Value, std::string>() = singleQuoted | doubleQuoted | bareValue;
const auto key = x3::rule<struct Key, std::string>()
    = x3::lexeme[x3::alpha >> *(x3::alnum | x3::char_('_') | x3::char_('-'))];
const auto option = x3::rule<struct OptionRule, Option>() = x3::lexeme[key >> '=' >> value];

Outcome<Command> parseLine(const std::string& text, int line)
{
    Command command { line, {}, {}, {} };
    auto addWord = [&](auto& context) { command.words.push_back(x3::_attr(context)); };
    auto addOption = [&](auto& context) {
        auto& [name, text] = x3::_attr(context);
        command.options[name] = text;
    };
    auto it = text.begin();
    const auto comment = x3::lexeme['#' >> *x3::char_];
    bool parsed = x3::phrase_parse(it, text.end(), *(option[addOption] | value[addWord]) >> -comment, x3::space);
    if (!parsed || it != text.end()) {
        return makeError(
            ErrorCode::InvalidArgument, fmt::format("line {}: cannot read '{}'", line, std::string(it, text.end())));
    }
    if (!command.words.empty()) {
        command.verb = command.words.front();
        command.words.erase(command.words.begin());
    } else if (!command.options.empty()) {
        return makeError(ErrorCode::InvalidArgument, fmt::format("line {}: a verb is missing", line));
    }
    return command;
}

} // namespace

Outcome<std::vector<Command>> parseScenario(std::string_view text)
{
    std::vector<Command> commands;
    int line = 0;
    for (const std::string& it : std::vector<std::string>(absl::StrSplit(std::string(text), '\n'))) {
        auto command = parseLine(it, ++line);
        if (!command) {
            return tl::make_unexpected(command.error());
        }
        if (!command->verb.empty()) {
            commands.push_back(std::move(*command));
        }
    }
    return commands;
}

} // namespace lagoonspoke
