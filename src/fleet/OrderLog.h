#pragma once

#include <deque>
#include <optional>

#include "fleet/FleetOrder.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Value of "fleet/orders/DC": intents that are not known to be carried out.
struct OrderLogRecord {
    std::uint64_t lastNumber = 0; // of the orders that were ever written here
    std::vector<FleetOrder> open;

    bool operator==(const OrderLogRecord&) const = default;
};

// Inputs. Answers to other than the latest call are ignored.
struct OrderLeaseChanged {
    std::optional<FencingToken> token;
};
struct OrderWanted {
    FleetOrderBody body;
};
struct OrderLogRead {
    std::uint64_t call = 0;
    OrderLogRecord record;
    std::optional<std::uint64_t> version; // nothing when there is no log yet
};
struct OrderLogWritten {
    std::uint64_t call = 0;
    std::uint64_t version = 0;
};
// The log has another version, or it is not known whether the write took effect: the log is read again.
struct OrderLogFailed {
    std::uint64_t call = 0;
};
struct OrderAnswered {
    FleetOrderId id;
    enum class Outcome {
        Done, // carried out now or before
        Refused, // by the receiver; it will not be carried out
        Unknown, // to be sent again
    } outcome
        = Outcome::Done;
};

using OrderLogEvent
    = std::variant<OrderLeaseChanged, OrderWanted, OrderLogRead, OrderLogWritten, OrderLogFailed, OrderAnswered>;

struct ReadOrderLog {
    std::uint64_t call = 0;
};
struct WriteOrderLog {
    std::uint64_t call = 0;
    OrderLogRecord record;
    std::optional<std::uint64_t> version;
};
// The intent is stored. The sender checks the lease again directly before it writes the order to its connection.
struct SendOrder {
    FleetOrder order;
    FencingToken token {};
};
struct OrderFinished {
    FleetOrder order;
    bool done = false;
};

using OrderLogAction = std::variant<ReadOrderLog, WriteOrderLog, SendOrder, OrderFinished>;

// Orders of one data centre: each intent is stored before the order is sent, and a new holder of the lease sends what
// its predecessor left open again, under the same ids. Pure; owned by FleetService.
class OrderLog {
public:
    struct Options {
        std::string dataCentre;
        Duration retryInterval = std::chrono::seconds(1);
    };

    static OrderLog Make(Options);

    std::vector<OrderLogAction> handle(const OrderLogEvent&, MonotonicTime now);
    std::vector<OrderLogAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const;

    // Orders that are wanted or stored and not finished. A planner must count them as carried out.
    std::vector<FleetOrderBody> pending() const;
    bool isReady() const { return m_token && m_loaded; }

private:
    struct Sending {
        FleetOrder order;
        bool inFlight = false;
        MonotonicTime nextSend;
    };

    explicit OrderLog(Options);

    void changeLease(const std::optional<FencingToken>&);
    void finishRead(const OrderLogRead&);
    void finishWrite(const OrderLogWritten&);
    void finishOrder(const OrderAnswered&);
    void startCalls();
    OrderLogRecord proposeRecord();
    void sendDue();

    bool needsWrite() const { return !m_written || !m_wanted.empty() || !m_finished.empty(); }

    Options m_options;
    MonotonicTime m_now;
    std::vector<OrderLogAction> m_actions;
    std::optional<FencingToken> m_token;
    bool m_loaded = false;
    // Whether this holder has written the log. Before that, a late write of its predecessor could still take effect.
    bool m_written = false;
    bool m_calling = false;
    std::uint64_t m_lastCall = 0;
    MonotonicTime m_nextCall;
    std::uint64_t m_lastNumber = 0;
    std::optional<std::uint64_t> m_version;
    std::deque<FleetOrderBody> m_wanted; // not stored yet
    std::vector<FleetOrder> m_writing; // wanted orders in the write in flight
    std::vector<Sending> m_open; // stored
    std::vector<FleetOrderId> m_finished; // to be taken out of the stored log
    std::size_t m_removing = 0; // of these, the write in flight takes out the first
};

} // namespace lagoonspoke
