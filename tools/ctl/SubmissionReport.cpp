#include "tools/ctl/SubmissionReport.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include "settings/JsonReader.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

std::string_view toString(SubmissionStatus status)
{
    switch (status) {
    case SubmissionStatus::Accepted:
        return "accepted";
    case SubmissionStatus::AlreadyAccepted:
        return "already-accepted";
    case SubmissionStatus::Invalid:
        return "invalid";
    case SubmissionStatus::WrongNumber:
        return "wrong-number";
    case SubmissionStatus::NumberTaken:
        return "number-taken";
    case SubmissionStatus::RaceLost:
        return "race-lost";
    case SubmissionStatus::Unavailable:
        return "unavailable";
    case SubmissionStatus::Unknown:
        return "unknown";
    case SubmissionStatus::Corrupt:
        break;
    }
    return "corrupt";
}

std::string formatJson(const SubmissionResult& result, std::uint64_t number)
{
    json::array errors;
    for (const auto& error : result.errors) {
        errors.push_back(json::object { { "path", error.path }, { "message", error.message } });
    }
    json::array changed;
    for (const auto& key : result.changed) {
        changed.push_back(json::object { { "kind", key.kind }, { "name", key.name } });
    }
    json::object object { { "status", std::string(toString(result.status)) }, { "ticket", number },
        { "next_number", result.expectedNumber }, { "digest", result.submittedDigest.value() },
        { "accepted_digest", result.acceptedDigest.value() }, { "message", result.message },
        { "errors", std::move(errors) }, { "changed", std::move(changed) } };
    return json::serialize(object) + "\n";
}

} // namespace

ExitCode exitCodeOf(SubmissionStatus status)
{
    switch (status) {
    case SubmissionStatus::Accepted:
    case SubmissionStatus::AlreadyAccepted:
        return ExitCode::Done;
    case SubmissionStatus::Invalid:
        return ExitCode::InvalidInput;
    case SubmissionStatus::WrongNumber:
    case SubmissionStatus::NumberTaken:
    case SubmissionStatus::RaceLost:
        return ExitCode::Conflict;
    case SubmissionStatus::Unavailable:
    case SubmissionStatus::Unknown:
        return ExitCode::Unavailable;
    case SubmissionStatus::Corrupt:
        break;
    }
    return ExitCode::Failed;
}

VerbResult reportSubmission(const SubmissionResult& submission, std::uint64_t number, OutputFormat format)
{
    VerbResult result;
    result.code = exitCodeOf(submission.status);
    if (format == OutputFormat::Json) {
        result.output = formatJson(submission, number);
        return result;
    }
    auto& text = result.code == ExitCode::Done ? result.output : result.error;
    text = submission.message + "\n" + formatErrors(submission.errors);
    return result;
}

VerbResult makeFailure(const Error& error)
{
    VerbResult result;
    switch (error.code) {
    case ErrorCode::InvalidArgument:
        result.code = ExitCode::InvalidInput;
        break;
    case ErrorCode::Conflict:
        result.code = ExitCode::Conflict;
        break;
    case ErrorCode::Unavailable:
    case ErrorCode::TimedOut:
        result.code = ExitCode::Unavailable;
        break;
    default:
        result.code = ExitCode::Failed;
    }
    result.error = error.message + "\n";
    return result;
}

} // namespace lagoonspoke
