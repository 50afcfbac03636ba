#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "dispatch/Dispatcher.h"

namespace lagoonspoke {

// Drives a dispatcher on a virtual clock that has passed the settling time. Owned by a test.
class DispatcherFixture {
public:
    explicit DispatcherFixture(int servers, int slots, const DispatchOptions& options = {})
        : m_dispatcher(Dispatcher::Make(DomainId("riga/m"), options))
    {
        for (int i = 0; i < servers; ++i) {
            serverList.push_back(
                { BackendServerId("s" + std::to_string(i)), DataCentreId("a"), TargetName("m"), "127.0.0.1:1", slots });
        }
        send(ServersChanged { serverList });
        now += std::chrono::seconds(2);
        advance();
    }

    // Sends an event and records the resulting actions.
    void send(const DispatchEvent& event) { record(m_dispatcher.handle(event, now)); }
    void sendFromEntry(EntryMessage message, const std::string& entry = "e1")
    {
        send(EntryMessageReceived { InstanceId(entry), std::move(message) });
    }
    void advance(Duration time = Duration(0))
    {
        now += time;
        record(m_dispatcher.advance(now));
    }

    static PlaceRequest makePlace(const std::string& id, int tier = 0, const std::string& team = "t1")
    {
        PlaceRequest place;
        place.request = RequestId(id);
        place.tier = Tier { static_cast<std::uint8_t>(tier) };
        place.team = TeamId(team);
        place.className = ClassName("c" + std::to_string(tier));
        place.promptTokens = Tokens { 100 };
        place.remaining = std::chrono::seconds(60);
        return place;
    }
    void place(const std::string& id, int tier = 0, const std::string& team = "t1")
    {
        sendFromEntry(makePlace(id, tier, team));
    }
    void start(const std::string& id) { sendFromEntry(makeProgress(id)); }
    void finish(const std::string& id, FinishOutcome outcome = FinishOutcome::Completed, int tokens = 10)
    {
        auto progress = makeProgress(id);
        progress.finished = true;
        progress.outcome = outcome;
        progress.outputTokens = Tokens { tokens };
        sendFromEntry(progress);
    }
    Progress makeProgress(const std::string& id) const
    {
        Progress progress;
        progress.request = RequestId(id);
        progress.grant = grants.at(id).grant;
        return progress;
    }
    // Completes enough requests to predict waiting times; each occupies its slot for the given time.
    void trainPredictions(Duration holdTime, int count = 10)
    {
        for (int i = 0; i < count; ++i) {
            auto id = "teach" + std::to_string(i);
            place(id);
            now += holdTime;
            finish(id);
        }
        clearRecords();
    }
    void clearRecords()
    {
        grants.clear();
        granted.clear();
        refusals.clear();
        revokes.clear();
        floors.clear();
        quarantines.clear();
    }

    std::string serverOf(const std::string& id) const { return grants.at(id).server.value(); }
    const DispatchCounters& counters() const { return m_dispatcher.counters(); }
    Dispatcher& dispatcher() { return m_dispatcher; }

    MonotonicTime now {};
    std::vector<BackendServer> serverList;
    std::map<std::string, Grant> grants; // the latest grant of each request
    std::vector<std::string> granted; // requests in the order of their grants
    std::map<std::string, Refusal> refusals;
    std::vector<std::pair<std::string, RevokeReason>> revokes;
    std::vector<int> floors;
    std::vector<Fingerprint> quarantines;

private:
    void record(const std::vector<DispatchAction>& actions)
    {
        for (const auto& action : actions) {
            if (const auto* send = std::get_if<SendToEntry>(&action)) {
                if (const auto* grant = std::get_if<Grant>(&send->message)) {
                    grants[grant->request.value()] = *grant;
                    granted.push_back(grant->request.value());
                } else if (const auto* refusal = std::get_if<Refusal>(&send->message)) {
                    refusals[refusal->request.value()] = *refusal;
                } else if (const auto* revoke = std::get_if<Revoke>(&send->message)) {
                    revokes.emplace_back(revoke->request.value(), revoke->reason);
                }
            } else if (const auto* floor = std::get_if<PublishFloor>(&action)) {
                floors.push_back(floor->floor.level);
            } else if (const auto* quarantine = std::get_if<PublishQuarantine>(&action)) {
                quarantines.push_back(quarantine->fingerprint);
            }
        }
    }

    Dispatcher m_dispatcher;
};

} // namespace lagoonspoke
