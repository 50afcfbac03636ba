#pragma once

#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/Shards.h"
#include "config/Ticket.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

struct StoredValue {
    std::string value;
    std::uint64_t version = 0;
};

// Calls that the submission asks for, one at a time. Each is answered by the event that it names.
struct GetObject { // ObjectRead
    std::string key;
};
struct CreateObject { // ObjectWritten
    std::string key;
    std::string value;
};
struct UpdateObject { // ObjectWritten
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

enum class SubmissionStatus {
    Accepted,
    AlreadyAccepted, // a repeat; nothing was changed
    Invalid, // errors are filled in; nothing was written
    WrongNumber, // expectedNumber is filled in; nothing was written
    NumberTaken, // another ticket has the number; both digests are filled in
    RaceLost, // another ticket was accepted meanwhile; changed is filled in
    Unavailable, // the object store does not answer; the ticket is not accepted by this submission
    Unknown, // the head update may still take effect; the same ticket can be submitted again
    Corrupt, // the stored configuration cannot be read; errors are filled in
};

struct SubmissionResult {
    SubmissionStatus status = SubmissionStatus::Unknown;
    std::uint64_t expectedNumber = 0;
    ContentDigest submittedDigest;
    ContentDigest acceptedDigest;
    std::vector<Error> errors;
    // Objects that differ between the configuration that this submission read and the one in force.
    std::vector<ObjectKey> changed;
    std::string message;
};

struct FinishSubmission {
    SubmissionResult result;
};

using SubmissionAction = std::variant<GetObject, CreateObject, UpdateObject, FinishSubmission>;

struct SubmissionStarted { };
struct ObjectRead {
    Outcome<StoredValue> outcome; // NotFound when there is none
};
struct ObjectWritten {
    Outcome<std::uint64_t> outcome; // the new version, or an error as ObjectStoreClient gives it
};

using SubmissionEvent = std::variant<SubmissionStarted, ObjectRead, ObjectWritten>;

// Decides the store calls that submit one ticket (docs/tickets.md). The update of "config/head" is the acceptance.
//
// It keeps one invariant: for every accepted number N, "config/ticket/N" holds the accepted ticket for good. To that
// end each attempt reads the head, then writes the ticket, then updates the head on condition of the version read.
// Whoever replaces the ticket object of another operator first rewrites the head unchanged, so that the head update
// of that operator can no longer succeed.
//
// Pure: owned by the coroutine that runs it (src/external/TicketSubmitter.h).
class TicketSubmission {
public:
    struct Options {
        // An operator whose ticket object is in the way gets this long to finish before it is taken for lost.
        Duration grace = std::chrono::seconds(2);
        Duration retryDelay = std::chrono::milliseconds(300);
        // Failed calls and lost races for the ticket object after which the submission gives up.
        int maxSetbacks = 8;
    };

    static TicketSubmission Make(Ticket, Options);

    std::vector<SubmissionAction> handle(const SubmissionEvent&, MonotonicTime now);
    std::vector<SubmissionAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const { return m_wakeup; }

    // The configuration that results; set once the ticket was checked.
    const std::optional<Configuration>& configuration() const { return m_after; }

private:
    enum class Step {
        ReadHead,
        CreateHead,
        ReadAcceptedTicket, // the ticket's number is not above the head's
        ReadShards,
        CreateTicket,
        ReadTicket,
        RewriteHead,
        UpdateTicket,
        WriteShards,
        UpdateHead,
        ReadRaceShards, // blobs of the head that won, to name the changed objects
        Waiting,
        Done,
    };
    using Actions = std::vector<SubmissionAction>;

    TicketSubmission(Ticket, Options);

    Actions handleRead(const Outcome<StoredValue>&, MonotonicTime);
    Actions handleWritten(const Outcome<std::uint64_t>&, MonotonicTime);
    Actions handleHead(const Outcome<StoredValue>&, MonotonicTime);
    Actions handleAbsentHead();
    Actions handleBlob(const Outcome<StoredValue>&, MonotonicTime);
    Actions handleTicketRead(const Outcome<StoredValue>&, MonotonicTime);
    Actions handleSuccess(std::uint64_t version);
    Actions handleConflict(MonotonicTime);

    Actions begin(); // a new attempt, from reading the head
    Actions compareAccepted(const ContentDigest& accepted);
    Actions readBase();
    Actions readNextBlob(Step);
    Actions checkTicket();
    Actions writeNextShard();
    Actions finishRace();
    Actions waitFor(Duration, Step resume, MonotonicTime);
    Actions setBack(Step resume, const Error&, MonotonicTime);
    Actions giveUp(const Error&);
    Actions call(Step);
    SubmissionAction makeCall(Step) const;
    Actions finish(SubmissionStatus, std::string message, std::vector<Error> errors = {});

    Ticket m_ticket;
    Options m_options;
    Step m_step = Step::ReadHead;
    Step m_resume = Step::ReadHead; // step to repeat after waiting
    std::optional<MonotonicTime> m_wakeup;
    int m_setbacks = 0;
    bool m_headUpdateSent = false;
    bool m_headUpdateUnknown = false;

    ConfigurationHead m_head; // as last read
    std::uint64_t m_headVersion = 0;
    // What the ticket was checked against. A later head with a higher number means a lost race.
    std::optional<ConfigurationHead> m_base;
    BlobMap m_blobs;
    std::deque<ContentDigest> m_missing; // blobs still to read
    std::optional<Configuration> m_after;
    ConfigurationHead m_newHead;
    std::deque<std::string> m_shardsToWrite;
    std::uint64_t m_ticketVersion = 0; // version to replace
    std::optional<std::uint64_t> m_foreignVersion; // version of another operator's ticket seen before the grace
};

} // namespace lagoonspoke
