#include <algorithm>
#include <array>

#include <absl/strings/escaping.h>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <openssl/rand.h>

#include "config/CanonicalJson.h"
#include "config/ObjectWriter.h"
#include "external/TicketSubmitter.h"
#include "tools/ctl/SubmissionReport.h"
#include "tools/ctl/Table.h"
#include "tools/ctl/Verbs.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

constexpr std::size_t keyBytes = 32;
// Races with other operators after which the verb gives up.
constexpr int maxRaces = 8;

// A new key: "lsk_" and 32 random bytes in base64url without padding. Nothing if the random source fails.
std::optional<std::string> makeKey()
{
    std::array<unsigned char, keyBytes> bytes;
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return std::nullopt;
    }
    std::string text;
    absl::WebSafeBase64Escape(std::string(bytes.begin(), bytes.end()), &text);
    return "lsk_" + text.substr(0, text.find('='));
}

std::string makeTeamTicket(std::uint64_t number, const TeamSpec& team)
{
    json::object object { { "kind", "team" }, { "name", team.name.value() },
        { "spec", *parseJson(writeTeamSpec(team)) } };
    return serialiseCanonically(
        json::object { { "ticket", number }, { "objects", json::array { std::move(object) } } });
}

struct TeamChange {
    std::string team;
    KeyDigest digest;
    bool issue;
};

Outcome<TeamSpec> changeTeam(const Configuration& configuration, const TeamChange& change)
{
    auto it = configuration.teams.find(TeamId(change.team));
    if (it == configuration.teams.end()) {
        return makeError(ErrorCode::InvalidArgument, fmt::format("there is no team '{}'", change.team));
    }
    auto team = it->second;
    if (change.issue) {
        team.keys.push_back(change.digest);
    } else if (std::erase(team.keys, change.digest) == 0) {
        return makeError(ErrorCode::InvalidArgument,
            fmt::format("team '{}' has no key with digest '{}'", change.team, change.digest.value()));
    }
    return team;
}

bool isRace(SubmissionStatus status)
{
    return status == SubmissionStatus::RaceLost || status == SubmissionStatus::NumberTaken
        || status == SubmissionStatus::WrongNumber;
}

struct ChangeReport {
    VerbResult result;
    std::uint64_t number = 0;
};

// Submits the team's whole new state, and again on top of the new configuration after each lost race.
asio::awaitable<ChangeReport> submitChange(ObjectStoreClient store, TeamChange change)
{
    ChangeReport report;
    for (int i = 0; i < maxRaces; ++i) {
        auto stored = co_await readConfiguration(store);
        if (!stored) {
            report.result = makeFailure(stored.error());
            break;
        }
        auto team = changeTeam(stored->configuration, change);
        if (!team) {
            report.result = makeFailure(team.error());
            break;
        }
        report.number = stored->head.number + 1;
        auto ticket = Ticket::Make(makeTeamTicket(report.number, *team));
        if (!ticket) {
            report.result = VerbResult { ExitCode::Failed, "", formatErrors(ticket.error()) };
            break;
        }
        TicketSubmission::Options options;
        auto submitted = co_await submitTicket(store, std::move(*ticket), options);
        report.result = reportSubmission(submitted.result, report.number, OutputFormat::Table);
        if (!isRace(submitted.result.status)) {
            break;
        }
    }
    co_return report;
}

std::string formatFields(const std::vector<std::pair<std::string, std::string>>& fields, OutputFormat format)
{
    json::object object;
    std::vector<std::vector<std::string>> rows;
    for (const auto& [name, value] : fields) {
        object[name] = value;
        rows.push_back({ name, value });
    }
    return format == OutputFormat::Json ? json::serialize(object) + "\n" : formatTable(rows);
}

} // namespace

asio::awaitable<VerbResult> issueKey(ObjectStoreClient store, std::vector<std::string> arguments, OutputFormat format)
{
    auto key = makeKey();
    if (!key) {
        co_return VerbResult { ExitCode::Failed, "", "the system's random source fails\n" };
    }
    auto digest = digestKey(*key);
    TeamChange change { arguments[0], digest, true };
    auto report = co_await submitChange(store, change);
    if (report.result.code == ExitCode::Done) {
        report.result.output = formatFields({ { "team", arguments[0] }, { "key", *key }, { "digest", digest.value() },
                                                { "ticket", std::to_string(report.number) } },
            format);
        if (format == OutputFormat::Table) {
            report.result.output += "\nThe key is shown only now; the configuration keeps its digest.\n";
        }
    } else if (report.result.code == ExitCode::Unavailable) {
        report.result.error
            += fmt::format("The key is not shown. If its digest {} turns up in team '{}', withdraw it.\n",
                digest.value(), arguments[0]);
    }
    co_return report.result;
}

asio::awaitable<VerbResult> withdrawKey(
    ObjectStoreClient store, std::vector<std::string> arguments, OutputFormat format)
{
    TeamChange change { arguments[0], KeyDigest(arguments[1]), false };
    auto report = co_await submitChange(store, change);
    if (report.result.code == ExitCode::Done) {
        report.result.output = formatFields(
            { { "team", arguments[0] }, { "withdrawn", arguments[1] }, { "ticket", std::to_string(report.number) } },
            format);
    }
    co_return report.result;
}

} // namespace lagoonspoke
