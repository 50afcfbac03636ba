#include "daemon/PeerService.h"

#include "daemon/PeerServiceState.h"
#include "http/Endpoint.h"

namespace lagoonspoke {

namespace {

constexpr Duration drainPollInterval = std::chrono::milliseconds(20);

} // namespace

Outcome<std::unique_ptr<PeerService>> PeerService::Make(
    asio::io_context& io, const DaemonSettings& settings, InstanceDirectoryPtr directory)
{
    auto ports = PeerPorts::Make(io, settings.peerAddress);
    if (!ports) {
        return tl::make_unexpected(ports.error());
    }
    return std::unique_ptr<PeerService>(
        new PeerService(std::make_shared<State>(io, settings, std::move(*ports), std::move(directory))));
}

PeerService::PeerService(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

PeerService::~PeerService()
{
    stop();
}

void PeerService::start()
{
    auto spawn = [&](asio::awaitable<void> coroutine) {
        asio::co_spawn(m_state->io, std::move(coroutine), [state = m_state](const std::exception_ptr&) {});
    };
    spawn(m_state->acceptLinks());
    spawn(m_state->receiveDatagrams());
    if (m_state->source) {
        m_state->openExchange();
        m_state->source->start(m_state->io, address(), m_state->makeSink());
        m_state->exchange->start();
    }
    m_state->scheduleWakeup();
}

void PeerService::announceLeaving()
{
    m_state->tunnels.setLeaving();
    m_state->handle(LeaveRequested {});
}

void PeerService::stop()
{
    if (std::exchange(m_state->stopped, true)) {
        return;
    }
    m_state->ports.close();
    m_state->timer.cancel();
    if (m_state->source) {
        m_state->source->stop();
    }
    if (m_state->exchange) {
        m_state->exchange->stop();
    }
    m_state->tunnels.stop();
    for (auto& [peer, link] : m_state->links) {
        link->close();
    }
    for (const auto& session : std::exchange(m_state->sessions, {})) {
        session->close();
    }
    m_state->receivers.clear();
    m_state->membersChanged = [] {};
    m_state->roleChanged = [] {};
    m_state->rumourReceiver = [](const Rumour&) {};
    m_state->serversChanged = [](const auto&) {};
    m_state->peerLost = [](const InstanceId&) {};
}

std::string PeerService::address() const
{
    return formatEndpoint(m_state->ports.endpoint());
}

bool PeerService::knowsServers() const
{
    return m_state->serversRead;
}

const std::map<DataCentreId, MonotonicTime>& PeerService::evacuations() const
{
    return m_state->evacuations.since();
}

std::uint64_t PeerService::serversRevision() const
{
    return m_state->source ? m_state->source->serversRevision() : 0;
}

const std::vector<Member>& PeerService::members() const
{
    return m_state->heard;
}

std::vector<tcp::endpoint> PeerService::tunnelPeers() const
{
    const auto& self = m_state->membership.self();
    std::vector<tcp::endpoint> peers;
    for (const auto& member : m_state->heard) {
        auto endpoint = parseEndpoint(member.peerAddress);
        bool isLiving = member.state == MemberState::Alive || member.state == MemberState::Suspect;
        if (isLiving && member.id != self.id && member.region == self.region && endpoint) {
            peers.push_back(*endpoint);
        }
    }
    return peers;
}

void PeerService::setCutOff(bool cutOff)
{
    m_state->tunnels.setCutOff(cutOff);
}

asio::awaitable<void> PeerService::drainTunnels(MonotonicTime end)
{
    asio::steady_timer timer(m_state->io);
    while (m_state->tunnels.count() > 0 && readMonotonicClock() < end) {
        timer.expires_after(drainPollInterval);
        co_await timer.async_wait(useTuple);
    }
}

void PeerService::send(const InstanceId& to, PeerChannel channel, std::string payload)
{
    m_state->sendTo(to, channel, std::move(payload));
}

void PeerService::publish(Rumour rumour)
{
    m_state->handle(RumourPublished { std::move(rumour) });
}

bool PeerService::readsStore() const
{
    return !m_state->exchange || m_state->exchange->reads();
}

WatchTurn PeerService::watchTurn() const
{
    return m_state->exchange ? m_state->exchange->turn() : WatchTurn();
}

std::vector<InstanceId> PeerService::recipients() const
{
    return m_state->exchange ? m_state->exchange->recipients() : std::vector<InstanceId>();
}

void PeerService::setRoleChanged(std::function<void()> handler)
{
    m_state->roleChanged = std::move(handler);
}

void PeerService::pushNews()
{
    m_state->handle(GossipUrgent {});
}

void PeerService::setReceiver(PeerChannel channel, Receiver receiver)
{
    m_state->receivers[channel] = std::move(receiver);
}

void PeerService::setMembersChanged(std::function<void()> handler)
{
    m_state->membersChanged = std::move(handler);
}

void PeerService::setRumourReceiver(std::function<void(const Rumour&)> handler)
{
    m_state->rumourReceiver = std::move(handler);
}

void PeerService::setServersChanged(std::function<void(std::vector<BackendServer>)> handler)
{
    m_state->serversChanged = std::move(handler);
}

void PeerService::setPeerLost(std::function<void(const InstanceId&)> handler)
{
    m_state->peerLost = std::move(handler);
}

} // namespace lagoonspoke
