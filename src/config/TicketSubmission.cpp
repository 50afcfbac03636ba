#include "config/TicketSubmission.h"

#include <algorithm>
#include <cassert>
#include <set>

#include <fmt/format.h>

#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

namespace {

bool isEffectUnknown(ErrorCode code)
{
    return code == ErrorCode::TimedOut || code == ErrorCode::ProtocolViolation;
}

// The errors of shards above the size that a peer's reply can carry.
std::vector<Error> checkShardSizes(const ShardTexts& texts)
{
    std::vector<Error> errors;
    for (std::size_t i = 0; i < shardCount; ++i) {
        if (texts[i].size() > maxShardBytes) {
            errors.push_back({ ErrorCode::TooLarge,
                fmt::format("shard {} would have {} bytes, above {}", i, texts[i].size(), maxShardBytes), "objects" });
        }
    }
    return errors;
}

} // namespace

TicketSubmission TicketSubmission::Make(Ticket ticket, Options options)
{
    return TicketSubmission(std::move(ticket), options);
}

TicketSubmission::TicketSubmission(Ticket ticket, Options options)
    : m_ticket(std::move(ticket))
    , m_options(options)
{
    // Empty shards are known to everyone and never stored.
    auto text = emptyShardText();
    m_blobs.emplace(digestContent(text), text);
}

TicketSubmission::Actions TicketSubmission::handle(const SubmissionEvent& event, MonotonicTime now)
{
    return std::visit(Overload {
                          [&](const SubmissionStarted&) { return begin(); },
                          [&](const ObjectRead& it) { return handleRead(it.outcome, now); },
                          [&](const ObjectWritten& it) { return handleWritten(it.outcome, now); },
                      },
        event);
}

TicketSubmission::Actions TicketSubmission::advance(MonotonicTime now)
{
    if (!m_wakeup || now < *m_wakeup) {
        return {};
    }
    m_wakeup.reset();
    return call(m_resume);
}

TicketSubmission::Actions TicketSubmission::begin()
{
    return call(Step::ReadHead);
}

TicketSubmission::Actions TicketSubmission::call(Step step)
{
    m_step = step;
    m_headUpdateSent = m_headUpdateSent || step == Step::UpdateHead;
    return { makeCall(step) };
}

SubmissionAction TicketSubmission::makeCall(Step step) const
{
    auto ticket = ticketKey(m_ticket.number());
    std::string head(headKey);
    switch (step) {
    case Step::ReadHead:
        return GetObject { head };
    case Step::CreateHead:
        return CreateObject { head, writeHead(makeInitialHead()) };
    case Step::ReadShards:
    case Step::ReadRaceShards:
        return GetObject { blobKey(m_missing.front()) };
    case Step::CreateTicket:
        return CreateObject { ticket, m_ticket.text() };
    case Step::RewriteHead:
        return UpdateObject { head, writeHead(m_head), m_headVersion };
    case Step::UpdateTicket:
        return UpdateObject { ticket, m_ticket.text(), m_ticketVersion };
    case Step::WriteShards:
        return CreateObject { blobKey(digestContent(m_shardsToWrite.front())), m_shardsToWrite.front() };
    case Step::UpdateHead:
        return UpdateObject { head, writeHead(m_newHead), m_headVersion };
    case Step::ReadAcceptedTicket:
    case Step::ReadTicket:
    case Step::Waiting:
    case Step::Done:
        break;
    }
    return GetObject { ticket };
}

TicketSubmission::Actions TicketSubmission::handleRead(const Outcome<StoredValue>& outcome, MonotonicTime now)
{
    if (m_step == Step::ReadHead) {
        return handleHead(outcome, now);
    }
    if (m_step == Step::ReadShards || m_step == Step::ReadRaceShards) {
        return handleBlob(outcome, now);
    }
    if (m_step == Step::ReadTicket) {
        return handleTicketRead(outcome, now);
    }
    assert(m_step == Step::ReadAcceptedTicket);
    if (outcome) {
        return compareAccepted(digestContent(outcome->value));
    }
    if (outcome.error().code == ErrorCode::NotFound) {
        return finish(SubmissionStatus::Corrupt, fmt::format("'{}' is missing", ticketKey(m_ticket.number())));
    }
    return setBack(m_step, outcome.error(), now);
}

TicketSubmission::Actions TicketSubmission::handleAbsentHead()
{
    if (m_ticket.number() != 1) {
        return finish(SubmissionStatus::WrongNumber, "there is no configuration yet: the ticket's number must be 1");
    }
    if (auto after = m_ticket.apply({}); !after) {
        return finish(SubmissionStatus::Invalid, "the ticket has mistakes", after.error());
    }
    return call(Step::CreateHead);
}

TicketSubmission::Actions TicketSubmission::handleHead(const Outcome<StoredValue>& outcome, MonotonicTime now)
{
    if (!outcome) {
        return outcome.error().code == ErrorCode::NotFound ? handleAbsentHead()
                                                           : setBack(Step::ReadHead, outcome.error(), now);
    }
    auto head = readHead(outcome->value);
    if (!head) {
        return finish(SubmissionStatus::Corrupt, "the stored configuration cannot be read", { head.error() });
    }
    m_head = std::move(*head);
    m_headVersion = outcome->version;
    if (m_ticket.number() == m_head.number) {
        return compareAccepted(m_head.ticketDigest);
    }
    if (m_ticket.number() < m_head.number) {
        return call(Step::ReadAcceptedTicket);
    }
    if (m_ticket.number() > m_head.number + 1) {
        return finish(SubmissionStatus::WrongNumber,
            fmt::format("the ticket's number must be {}, is {}", m_head.number + 1, m_ticket.number()));
    }
    return readBase();
}

TicketSubmission::Actions TicketSubmission::compareAccepted(const ContentDigest& accepted)
{
    if (accepted == m_ticket.digest()) {
        return m_headUpdateSent
            ? finish(SubmissionStatus::Accepted, fmt::format("ticket {} is accepted", m_ticket.number()))
            : finish(SubmissionStatus::AlreadyAccepted,
                fmt::format("ticket {} was accepted before; nothing is changed", m_ticket.number()));
    }
    if (m_base) {
        for (std::size_t i = 0; i < shardCount; ++i) {
            if (m_head.shards[i] != m_base->shards[i] && !m_blobs.contains(m_head.shards[i])) {
                m_missing.push_back(m_head.shards[i]);
            }
        }
        return readNextBlob(Step::ReadRaceShards);
    }
    auto actions = finish(SubmissionStatus::NumberTaken,
        fmt::format("ticket {} was accepted with other content: the accepted digest is {}, the submitted one {}; the "
                    "next number is {}",
            m_ticket.number(), accepted.value(), m_ticket.digest().value(), m_head.number + 1));
    std::get<FinishSubmission>(actions.front()).result.acceptedDigest = accepted;
    return actions;
}

TicketSubmission::Actions TicketSubmission::readBase()
{
    if (m_base) {
        return call(Step::CreateTicket);
    }
    m_base = m_head;
    std::set<ContentDigest> digests(m_head.shards.begin(), m_head.shards.end());
    std::ranges::copy_if(digests, std::back_inserter(m_missing), [&](const auto& it) { return !m_blobs.contains(it); });
    return readNextBlob(Step::ReadShards);
}

TicketSubmission::Actions TicketSubmission::readNextBlob(Step step)
{
    if (!m_missing.empty()) {
        return call(step);
    }
    return step == Step::ReadShards ? checkTicket() : finishRace();
}

TicketSubmission::Actions TicketSubmission::handleBlob(const Outcome<StoredValue>& outcome, MonotonicTime now)
{
    if (!outcome && outcome.error().code != ErrorCode::NotFound) {
        return setBack(m_step, outcome.error(), now);
    }
    const auto& digest = m_missing.front();
    if (!outcome || digestContent(outcome->value) != digest) {
        return finish(SubmissionStatus::Corrupt, fmt::format("'{}' is missing or has another digest", blobKey(digest)));
    }
    m_blobs.emplace(digest, outcome->value);
    m_missing.pop_front();
    return readNextBlob(m_step);
}

TicketSubmission::Actions TicketSubmission::checkTicket()
{
    auto before = readShards(*m_base, m_blobs);
    if (!before) {
        return finish(SubmissionStatus::Corrupt, "the stored configuration cannot be read", before.error());
    }
    auto after = m_ticket.apply(*before);
    if (!after) {
        return finish(SubmissionStatus::Invalid, "the ticket has mistakes", after.error());
    }
    auto texts = writeShards(*after);
    if (auto errors = checkShardSizes(texts); !errors.empty()) {
        return finish(SubmissionStatus::Invalid, "the configuration would be too large", std::move(errors));
    }
    m_newHead.number = m_newHead.ticketNumber = m_ticket.number();
    m_newHead.ticketDigest = m_ticket.digest();
    for (std::size_t i = 0; i < shardCount; ++i) {
        m_newHead.shards[i] = digestContent(texts[i]);
        if (!m_blobs.contains(m_newHead.shards[i])) {
            m_shardsToWrite.push_back(std::move(texts[i]));
        }
    }
    m_after = std::move(*after);
    return call(Step::CreateTicket);
}

TicketSubmission::Actions TicketSubmission::handleTicketRead(const Outcome<StoredValue>& outcome, MonotonicTime now)
{
    if (!outcome) {
        return outcome.error().code == ErrorCode::NotFound ? call(Step::CreateTicket)
                                                           : setBack(Step::ReadTicket, outcome.error(), now);
    }
    m_ticketVersion = outcome->version;
    if (outcome->value == m_ticket.text()) {
        // Writing it again gives it a new version, so that an operator that was about to replace it no longer can.
        return call(Step::UpdateTicket);
    }
    if (m_foreignVersion == outcome->version) {
        return call(Step::RewriteHead);
    }
    m_foreignVersion = outcome->version;
    if (++m_setbacks > m_options.maxSetbacks) {
        return finish(SubmissionStatus::Unavailable,
            fmt::format("other submissions of ticket {} keep running; try again", m_ticket.number()));
    }
    return waitFor(m_options.grace, Step::ReadHead, now);
}

TicketSubmission::Actions TicketSubmission::handleWritten(const Outcome<std::uint64_t>& outcome, MonotonicTime now)
{
    if (outcome) {
        return handleSuccess(*outcome);
    }
    if (outcome.error().code == ErrorCode::Conflict) {
        return handleConflict(now);
    }
    switch (m_step) {
    case Step::CreateTicket:
        return setBack(Step::ReadTicket, outcome.error(), now);
    case Step::WriteShards:
        return setBack(Step::WriteShards, outcome.error(), now);
    case Step::UpdateHead:
        m_headUpdateUnknown = m_headUpdateUnknown || isEffectUnknown(outcome.error().code);
        break;
    default:
        break;
    }
    return setBack(Step::ReadHead, outcome.error(), now);
}

TicketSubmission::Actions TicketSubmission::handleSuccess(std::uint64_t version)
{
    switch (m_step) {
    case Step::CreateTicket:
    case Step::UpdateTicket:
        return writeNextShard();
    case Step::RewriteHead:
        m_headVersion = version;
        return call(Step::UpdateTicket);
    case Step::WriteShards:
        m_shardsToWrite.pop_front();
        return writeNextShard();
    case Step::UpdateHead:
        return finish(SubmissionStatus::Accepted, fmt::format("ticket {} is accepted", m_ticket.number()));
    default:
        assert(m_step == Step::CreateHead);
        return begin();
    }
}

TicketSubmission::Actions TicketSubmission::handleConflict(MonotonicTime now)
{
    switch (m_step) {
    case Step::CreateTicket:
        return call(Step::ReadTicket);
    case Step::WriteShards:
        // The key is the content's digest: another operator wrote the same.
        m_shardsToWrite.pop_front();
        return writeNextShard();
    case Step::CreateHead:
        return begin();
    default:
        if (++m_setbacks > m_options.maxSetbacks) {
            return giveUp({ ErrorCode::Conflict, "other submissions keep running" });
        }
        return waitFor(Duration(0), Step::ReadHead, now);
    }
}

TicketSubmission::Actions TicketSubmission::writeNextShard()
{
    return call(m_shardsToWrite.empty() ? Step::UpdateHead : Step::WriteShards);
}

TicketSubmission::Actions TicketSubmission::finishRace()
{
    auto changed = findChangedObjects(*m_base, m_head, m_blobs);
    std::string names;
    for (const auto& it : changed) {
        names += (names.empty() ? "" : ", ") + toString(it);
    }
    auto actions = finish(SubmissionStatus::RaceLost,
        fmt::format("another ticket was accepted as {}; ticket {} is not applied. Changed meanwhile: {}. The next "
                    "number is {}",
            m_head.number, m_ticket.number(), names, m_head.number + 1));
    std::get<FinishSubmission>(actions.front()).result.changed = std::move(changed);
    return actions;
}

TicketSubmission::Actions TicketSubmission::waitFor(Duration duration, Step resume, MonotonicTime now)
{
    m_step = Step::Waiting;
    m_resume = resume;
    m_wakeup = now + duration;
    return {};
}

TicketSubmission::Actions TicketSubmission::setBack(Step resume, const Error& error, MonotonicTime now)
{
    bool repeatable = isEffectUnknown(error.code) || error.code == ErrorCode::Unavailable;
    if (!repeatable || ++m_setbacks > m_options.maxSetbacks) {
        return m_step == Step::ReadRaceShards ? finishRace() : giveUp(error);
    }
    return waitFor(m_options.retryDelay, resume, now);
}

TicketSubmission::Actions TicketSubmission::giveUp(const Error& error)
{
    if (m_headUpdateUnknown) {
        return finish(SubmissionStatus::Unknown,
            fmt::format("whether ticket {} is accepted is unknown ({}); submit the same ticket again to find out",
                m_ticket.number(), error.message));
    }
    return finish(SubmissionStatus::Unavailable,
        fmt::format("ticket {} is not accepted ({}); submit it again", m_ticket.number(), error.message));
}

TicketSubmission::Actions TicketSubmission::finish(
    SubmissionStatus status, std::string message, std::vector<Error> errors)
{
    m_step = Step::Done;
    SubmissionResult result;
    result.status = status;
    result.expectedNumber = m_head.number + 1;
    result.submittedDigest = m_ticket.digest();
    result.message = std::move(message);
    result.errors = std::move(errors);
    return { FinishSubmission { std::move(result) } };
}

} // namespace lagoonspoke
