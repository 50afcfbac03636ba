#include "lease/LeaseMachine.h"

// The transition table has more rows than the preprocessed headers of MPL allow.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 40
#define BOOST_MPL_LIMIT_MAP_SIZE 40

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "lagoonspoke/core/Overload.h"
#include "lease/LeaseCore.h"

namespace lagoonspoke {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct TimeAdvanced { };
struct SuspensionDetected { };

template <auto Method> struct Action {
    template <typename Event, typename Fsm, typename Source, typename Target>
    void operator()(const Event&, Fsm& fsm, Source&, Target&) const
    {
        (fsm.core->*Method)();
    }
};

template <auto Method> struct Guard {
    template <typename Event, typename Fsm, typename Source, typename Target>
    bool operator()(const Event&, Fsm& fsm, Source&, Target&) const
    {
        return (fsm.core->*Method)();
    }
};

using Core = LeaseCore;

struct LeaseStates : msm::front::state_machine_def<LeaseStates> {
    LeaseCore* core = nullptr;

    struct Idle : msm::front::state<> { };
    struct Observing : msm::front::state<> { };
    struct Acquiring : msm::front::state<> { };
    struct Holding : msm::front::state<> { };
    struct Renewing : msm::front::state<> { };
    // The outcome of a renewal is unknown or it had a version conflict; the object is read back.
    struct Confirming : msm::front::state<> { };
    // Waits for the result of the renewal in flight, then releases the lease if that renewal succeeded.
    struct Stopping : msm::front::state<> { };
    struct Releasing : msm::front::state<> { };
    struct Stopped : msm::front::state<> {
        template <typename Event, typename Fsm> void on_entry(const Event&, Fsm& fsm) { fsm.core->stop(); }
    };

    using initial_state = Idle;

    // Boost.MSM requires this name.
    // clang-format off
    struct transition_table // NOLINT(readability-identifier-naming)
        : boost::mpl::vector<
        Row<Idle, CandidacyChanged, Observing, Action<&Core::restartObservation>, Guard<&Core::isCandidate>>,
        Row<Idle, LeaseReleaseRequested, Stopped>,

        Row<Observing, CandidacyChanged, Idle, none, Guard<&Core::isNotCandidate>>,
        Row<Observing, TimeAdvanced, none, Action<&Core::read>, Guard<&Core::isReadDue>>,
        Row<Observing, TimeAdvanced, Acquiring, Action<&Core::acquire>, Guard<&Core::isTakeoverDue>>,
        Row<Observing, LeaseRead, none, Action<&Core::observe>>,
        Row<Observing, LeaseReadFailed, none, Action<&Core::scheduleRetry>>,
        Row<Observing, SuspensionDetected, none, Action<&Core::restartObservation>>,
        Row<Observing, LeaseReleaseRequested, Stopped>,

        Row<Acquiring, LeaseWritten, Holding, Action<&Core::becomeHolder>>,
        Row<Acquiring, LeaseWriteConflict, Observing, Action<&Core::restartObservation>>,
        Row<Acquiring, LeaseWriteUnknown, Observing, Action<&Core::restartObservation>>,
        Row<Acquiring, SuspensionDetected, Observing, Action<&Core::restartObservation>>,
        Row<Acquiring, LeaseReleaseRequested, Stopped>,

        Row<Holding, TimeAdvanced, Renewing, Action<&Core::renew>, Guard<&Core::isRenewalDue>>,
        Row<Holding, TimeAdvanced, Observing, Action<&Core::lose>, Guard<&Core::isTermExpired>>,
        Row<Holding, SuspensionDetected, Observing, Action<&Core::lose>>,
        Row<Holding, LeaseReleaseRequested, Releasing, Action<&Core::loseAndRelease>>,

        Row<Renewing, LeaseWritten, Holding, Action<&Core::confirmRenewal>>,
        Row<Renewing, LeaseWriteConflict, Confirming, Action<&Core::read>>,
        Row<Renewing, LeaseWriteUnknown, Confirming, Action<&Core::read>>,
        Row<Renewing, TimeAdvanced, Observing, Action<&Core::lose>, Guard<&Core::isTermExpired>>,
        Row<Renewing, SuspensionDetected, Observing, Action<&Core::lose>>,
        Row<Renewing, LeaseReleaseRequested, Stopping, Action<&Core::abandon>>,

        Row<Confirming, LeaseRead, Holding, Action<&Core::adoptStoredRenewal>, Guard<&Core::isStoredHolder>>,
        Row<Confirming, LeaseRead, Observing, Action<&Core::loseAndObserve>, Guard<&Core::isNotStoredHolder>>,
        Row<Confirming, LeaseReadFailed, none, Action<&Core::scheduleRetry>>,
        Row<Confirming, TimeAdvanced, Observing, Action<&Core::lose>, Guard<&Core::isTermExpired>>,
        Row<Confirming, TimeAdvanced, none, Action<&Core::read>, Guard<&Core::isConfirmationDue>>,
        Row<Confirming, SuspensionDetected, Observing, Action<&Core::lose>>,
        Row<Confirming, LeaseReleaseRequested, Stopped, Action<&Core::abandon>>,

        Row<Stopping, LeaseWritten, Releasing, Action<&Core::confirmAndRelease>>,
        Row<Stopping, LeaseWriteConflict, Stopped>,
        Row<Stopping, LeaseWriteUnknown, Stopped>,
        Row<Stopping, SuspensionDetected, Stopped>,

        Row<Releasing, LeaseWritten, Stopped>,
        Row<Releasing, LeaseWriteConflict, Stopped>,
        Row<Releasing, LeaseWriteUnknown, Stopped>
    > { };
    // clang-format on

    // Events without a row for the current state are ignored.
    template <typename Event, typename Fsm> void no_transition(const Event&, Fsm&, int) { }
};

using LeaseFsm = msm::back::state_machine<LeaseStates>;

} // namespace

struct LeaseMachine::Core {
    explicit Core(Options options)
        : data(std::move(options))
    {
        fsm.core = &data;
        fsm.start();
    }

    void recordInput(MonotonicTime now)
    {
        data.now = now;
        if (data.detectSuspension()) {
            fsm.process_event(SuspensionDetected {});
        }
    }

    void process(const CandidacyChanged& event)
    {
        data.candidacy = event;
        fsm.process_event(event);
    }
    void process(const LeaseReleaseRequested& event) { fsm.process_event(event); }
    void process(const LeaseRead& event)
    {
        data.lastRead = event;
        processResult(event);
    }
    void process(const LeaseWritten& event)
    {
        if (data.isAcquisitionOutdated(event.version)) {
            // The epoch may have been in force before the store was restored.
            processResult(LeaseWriteConflict { event.call });
            return;
        }
        data.writtenVersion = event.version;
        processResult(event);
    }
    void process(const LeaseReadFailed& event) { processResult(event); }
    void process(const LeaseWriteConflict& event) { processResult(event); }
    void process(const LeaseWriteUnknown& event) { processResult(event); }

    template <typename Event> void processResult(const Event& event)
    {
        if (data.isLatestCall(event.call)) {
            fsm.process_event(event);
        }
    }

    LeaseCore data;
    LeaseFsm fsm;
};

LeaseMachine LeaseMachine::Make(Options options)
{
    return LeaseMachine(std::make_unique<Core>(std::move(options)));
}

LeaseMachine::LeaseMachine(std::unique_ptr<Core> core)
    : m_core(std::move(core))
{
}

LeaseMachine::LeaseMachine(LeaseMachine&&) noexcept = default;
LeaseMachine& LeaseMachine::operator=(LeaseMachine&&) noexcept = default;
LeaseMachine::~LeaseMachine() = default;

std::vector<LeaseAction> LeaseMachine::handle(const LeaseEvent& event, MonotonicTime now)
{
    m_core->recordInput(now);
    std::visit([&](const auto& it) { m_core->process(it); }, event);
    return m_core->data.takeActions();
}

std::vector<LeaseAction> LeaseMachine::advance(MonotonicTime now)
{
    m_core->recordInput(now);
    m_core->fsm.process_event(TimeAdvanced {});
    return m_core->data.takeActions();
}

std::optional<MonotonicTime> LeaseMachine::nextWakeup() const
{
    return m_core->data.nextWakeup();
}

std::optional<FencingToken> LeaseMachine::mayAct(MonotonicTime now) const
{
    return m_core->data.mayAct(now);
}

bool LeaseMachine::isHolder() const
{
    return m_core->data.isHolder();
}

} // namespace lagoonspoke
