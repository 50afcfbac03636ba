#pragma once

#include <vector>

#include "lease/LeaseMachine.h"

namespace lagoonspoke {

// Data, guards and actions of LeaseMachine; the transition table is in LeaseMachine.cpp. Owned by LeaseMachine.
class LeaseCore {
public:
    explicit LeaseCore(LeaseMachine::Options);

    // Inputs, set before the event is processed.
    MonotonicTime now;
    LeaseRead lastRead;
    std::uint64_t writtenVersion = 0;
    CandidacyChanged candidacy;

    bool isCandidate() const { return candidacy.candidate; }
    bool isNotCandidate() const { return !candidacy.candidate; }
    bool isTakeoverDue() const;
    bool isReadDue() const;
    bool isRenewalDue() const;
    bool isConfirmationDue() const { return !isTermExpired() && now >= m_nextRead; }
    bool isTermExpired() const { return now >= m_termEnd; }
    bool isStoredHolder() const;
    bool isNotStoredHolder() const { return !isStoredHolder(); }

    void read();
    void observe();
    void scheduleRetry();
    void restartObservation();
    void acquire();
    void becomeHolder();
    void renew();
    void confirmRenewal();
    void adoptStoredRenewal();
    void lose();
    void loseAndObserve();
    void abandon();
    void loseAndRelease();
    void confirmAndRelease();

    bool isHolder() const { return m_holder; }
    FencingToken token() const { return static_cast<FencingToken>(m_epoch); }
    std::optional<FencingToken> mayAct(MonotonicTime at) const;
    // Whether the store was restored after the lease was read that the write in flight acquires.
    bool isAcquisitionOutdated(std::uint64_t version) const;
    bool isLatestCall(std::uint64_t call) const { return call == m_lastCall; }
    // Returns whether the process was suspended since the previous input, and records now as the latest input.
    bool detectSuspension();
    std::optional<MonotonicTime> nextWakeup() const;
    std::vector<LeaseAction> takeActions();
    void stop() { m_stopped = true; }

private:
    void drop();
    void write(LeaseRecord, std::optional<std::uint64_t> version);
    Duration takeoverDelay() const;
    // Longest time from a holder's last renewal to its last order, with the candidate's own delay.
    Duration fullDelay() const;
    // Whether the store was restored after the record's holder acquired the lease. Others may have held it since then,
    // and may hold it still.
    bool mayBeOutdated(const LeaseRecord&) const;

    LeaseMachine::Options m_options;
    std::vector<LeaseAction> m_actions;
    std::optional<MonotonicTime> m_lastInputAt;
    bool m_stopped = false;
    std::uint64_t m_lastCall = 0;
    MonotonicTime m_nextRead;

    // As a candidate: the record last read, and when its current version was first read.
    bool m_observed = false;
    std::optional<StoredLease> m_observedLease;
    MonotonicTime m_observedSince;
    std::optional<std::uint64_t> m_restorations; // of the store, as read last
    bool m_sawRestoration = false;

    // As the holder, or its last state as one: the state last known to be stored.
    bool m_holder = false;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_renewal = 0;
    std::uint64_t m_version = 0;
    MonotonicTime m_termEnd;
    MonotonicTime m_writeSentAt;
    // When the earliest renewal with an unknown outcome was sent. A renewal that is read back may be any one sent
    // since then, so its term counts from the earliest.
    std::optional<MonotonicTime> m_firstUnconfirmed;
};

} // namespace lagoonspoke
