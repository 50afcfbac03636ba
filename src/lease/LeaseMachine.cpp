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

struct Tick { };
struct Paused { };

template <auto Method> struct Do {
    template <typename Event, typename Fsm, typename Source, typename Target>
    void operator()(const Event&, Fsm& fsm, Source&, Target&) const
    {
        (fsm.core->*Method)();
    }
};

template <auto Method> struct When {
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
    // A renewal's outcome is unknown; the object is read back.
    struct Confirming : msm::front::state<> { };
    // Gives the lease up once the renewal in flight is answered.
    struct Stopping : msm::front::state<> { };
    struct Releasing : msm::front::state<> { };
    struct Stopped : msm::front::state<> {
        template <typename Event, typename Fsm> void on_entry(const Event&, Fsm& fsm) { fsm.core->stop(); }
    };

    using initial_state = Idle;

    // The name is prescribed by Boost.MSM.
    // clang-format off
    struct transition_table // NOLINT(readability-identifier-naming)
        : boost::mpl::vector<
        Row<Idle, CandidacyChanged, Observing, Do<&Core::restartObservation>, When<&Core::isCandidate>>,
        Row<Idle, LeaseReleaseRequested, Stopped>,

        Row<Observing, CandidacyChanged, Idle, none, When<&Core::isNotCandidate>>,
        Row<Observing, Tick, none, Do<&Core::read>, When<&Core::isReadDue>>,
        Row<Observing, Tick, Acquiring, Do<&Core::acquire>, When<&Core::isTakeoverDue>>,
        Row<Observing, LeaseRead, none, Do<&Core::observe>>,
        Row<Observing, LeaseReadFailed, none, Do<&Core::scheduleRetry>>,
        Row<Observing, Paused, none, Do<&Core::restartObservation>>,
        Row<Observing, LeaseReleaseRequested, Stopped>,

        Row<Acquiring, LeaseWritten, Holding, Do<&Core::becomeHolder>>,
        Row<Acquiring, LeaseWriteConflict, Observing, Do<&Core::restartObservation>>,
        Row<Acquiring, LeaseWriteUnknown, Observing, Do<&Core::restartObservation>>,
        Row<Acquiring, Paused, Observing, Do<&Core::restartObservation>>,
        Row<Acquiring, LeaseReleaseRequested, Stopped>,

        Row<Holding, Tick, Renewing, Do<&Core::renew>, When<&Core::isRenewalDue>>,
        Row<Holding, Tick, Observing, Do<&Core::lose>, When<&Core::isTermOver>>,
        Row<Holding, Paused, Observing, Do<&Core::lose>>,
        Row<Holding, LeaseReleaseRequested, Releasing, Do<&Core::loseAndRelease>>,

        Row<Renewing, LeaseWritten, Holding, Do<&Core::confirm>>,
        Row<Renewing, LeaseWriteConflict, Confirming, Do<&Core::read>>,
        Row<Renewing, LeaseWriteUnknown, Confirming, Do<&Core::read>>,
        Row<Renewing, Tick, Observing, Do<&Core::lose>, When<&Core::isTermOver>>,
        Row<Renewing, Paused, Observing, Do<&Core::lose>>,
        Row<Renewing, LeaseReleaseRequested, Stopping, Do<&Core::abandon>>,

        Row<Confirming, LeaseRead, Holding, Do<&Core::adoptStoredRenewal>, When<&Core::isStoredHolder>>,
        Row<Confirming, LeaseRead, Observing, Do<&Core::loseAndObserve>, When<&Core::isNotStoredHolder>>,
        Row<Confirming, LeaseReadFailed, none, Do<&Core::scheduleRetry>>,
        Row<Confirming, Tick, Observing, Do<&Core::lose>, When<&Core::isTermOver>>,
        Row<Confirming, Tick, none, Do<&Core::read>, When<&Core::isConfirmationDue>>,
        Row<Confirming, Paused, Observing, Do<&Core::lose>>,
        Row<Confirming, LeaseReleaseRequested, Stopped, Do<&Core::abandon>>,

        Row<Stopping, LeaseWritten, Releasing, Do<&Core::confirmAndRelease>>,
        Row<Stopping, LeaseWriteConflict, Stopped>,
        Row<Stopping, LeaseWriteUnknown, Stopped>,
        Row<Stopping, Paused, Stopped>,

        Row<Releasing, LeaseWritten, Stopped>,
        Row<Releasing, LeaseWriteConflict, Stopped>,
        Row<Releasing, LeaseWriteUnknown, Stopped>
    > { };
    // clang-format on

    // Events without a row in a state need nothing done.
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

    void drive(MonotonicTime now)
    {
        data.now = now;
        if (data.detectSuspension()) {
            fsm.process_event(Paused {});
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
        processAnswer(event);
    }
    void process(const LeaseWritten& event)
    {
        data.writtenVersion = event.version;
        processAnswer(event);
    }
    void process(const LeaseReadFailed& event) { processAnswer(event); }
    void process(const LeaseWriteConflict& event) { processAnswer(event); }
    void process(const LeaseWriteUnknown& event) { processAnswer(event); }

    template <typename Event> void processAnswer(const Event& event)
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
    m_core->drive(now);
    std::visit([&](const auto& it) { m_core->process(it); }, event);
    return m_core->data.takeActions();
}

std::vector<LeaseAction> LeaseMachine::advance(MonotonicTime now)
{
    m_core->drive(now);
    m_core->fsm.process_event(Tick {});
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
