#include "http/HeldInput.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Fewer bytes do not keep a request from stalling.
constexpr std::size_t minProgressBytes = 1024;
// Above the limit, and up to twice the limit, requests with this part of it are still admitted, so that a few callers
// with large bodies keep nobody else out: 128 KiB of the default limit.
constexpr std::size_t smallPart = 256;
// Requests of this size are always admitted; the limit on connections bounds them.
constexpr std::size_t tinyRequest = 16 * 1024;
// A lower peak leaves little to return to the system.
constexpr std::size_t minTrimmedPeak = 8 << 20;

} // namespace

struct HeldInput::State {
    template <auto Hook>
    using List = boost::intrusive::list<Share, boost::intrusive::member_hook<Share, Share::Hook, Hook>,
        boost::intrusive::constant_time_size<false>>;

    bool isSmall(std::size_t requestBytes) const { return requestBytes <= limits.mostBytes / smallPart; }
    bool hasRoom(std::size_t requestBytes) const
    {
        return total <= limits.mostBytes || (isSmall(requestBytes) && total <= 2 * limits.mostBytes)
            || requestBytes <= tinyRequest;
    }
    bool evictStalled(MonotonicTime now)
    {
        if (reading.empty() || now - reading.front().m_progressTime < limits.stallBound) {
            return false;
        }
        reading.front().endReading(InputAdmission::Evicted);
        return true;
    }

    Duration timeToRoom(MonotonicTime now) const
    {
        auto bound = limits.stallBound;
        return reading.empty() ? Duration(0)
                               : std::clamp(reading.front().m_progressTime + bound - now, Duration(0), bound);
    }

    Limits limits;
    std::size_t total = 0;
    std::size_t peak = 0; // of the total, since it was reset
    List<&Share::m_reading> reading {}; // the one without progress for longest in front
    List<&Share::m_large> large {}; // those being read that are not small; the latest at the back
};

HeldInput::HeldInput(Limits limits)
    : m_state(std::make_shared<State>(State { limits }))
{
}

std::size_t HeldInput::total() const
{
    return m_state->total;
}

bool HeldInput::evictStalled(MonotonicTime now)
{
    return m_state->evictStalled(now);
}

Duration HeldInput::timeToRoom(MonotonicTime now) const
{
    return m_state->timeToRoom(now);
}

bool HeldInput::resetFallenPeak()
{
    bool hasFallen = m_state->peak >= minTrimmedPeak && m_state->total <= m_state->peak / 2;
    if (hasFallen) {
        m_state->peak = m_state->total;
    }
    return hasFallen;
}

HeldInput::Share::Share(const HeldInput& held)
    : m_state(held.m_state)
{
}

HeldInput::Share::~Share()
{
    release();
}

void HeldInput::Share::startReading(MonotonicTime now, std::function<void()> end)
{
    stopReading();
    m_end = std::move(end);
    m_progressTime = now;
    m_sinceProgress = 0;
    m_state->reading.push_back(*this);
}

void HeldInput::Share::noteReceived(std::size_t bytes, MonotonicTime now)
{
    m_sinceProgress += bytes;
    if (m_sinceProgress >= minProgressBytes && m_reading.is_linked()) {
        m_progressTime = now;
        m_sinceProgress = 0;
        auto& reading = m_state->reading;
        reading.splice(reading.end(), reading, reading.iterator_to(*this));
    }
}

void HeldInput::Share::stopReading()
{
    m_reading.unlink();
    m_large.unlink();
    m_end = {};
}

InputAdmission HeldInput::Share::hold(std::size_t bytes, MonotonicTime now)
{
    if (m_admission != InputAdmission::Admitted) {
        return m_admission;
    }
    set(bytes);
    if (!m_state->isSmall(bytes) && m_reading.is_linked() && !m_large.is_linked()) {
        m_state->large.push_back(*this);
    }
    while (!m_state->hasRoom(m_bytes)) {
        if (m_state->evictStalled(now)) {
            continue;
        }
        auto& latest = m_state->large.empty() ? *this : m_state->large.back();
        latest.endReading(InputAdmission::Refused);
    }
    return m_admission;
}

void HeldInput::Share::release()
{
    stopReading();
    set(0);
    m_admission = InputAdmission::Admitted;
}

Duration HeldInput::Share::timeToRoom(MonotonicTime now) const
{
    return m_state->timeToRoom(now);
}

void HeldInput::Share::set(std::size_t bytes)
{
    m_state->total += bytes - m_bytes;
    m_state->peak = std::max(m_state->peak, m_state->total);
    m_bytes = bytes;
}

void HeldInput::Share::endReading(InputAdmission admission)
{
    auto end = std::move(m_end);
    stopReading();
    // Its reader frees the memory in its next step.
    set(0);
    m_admission = admission;
    if (end) {
        end();
    }
}

} // namespace lagoonspoke
