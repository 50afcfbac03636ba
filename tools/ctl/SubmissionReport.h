#pragma once

#include "config/TicketSubmission.h"
#include "tools/ctl/Verbs.h"

namespace lagoonspoke {

ExitCode exitCodeOf(SubmissionStatus);

// What the operator is told about a finished submission.
VerbResult reportSubmission(const SubmissionResult&, std::uint64_t number, OutputFormat);

} // namespace lagoonspoke
