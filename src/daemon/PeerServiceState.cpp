#include "daemon/PeerServiceState.h"

#include <algorithm>
#include <array>
#include <random>

#include "http/Endpoint.h"
#include "lagoonspoke/core/Overload.h"
#include "observe/LogLine.h"
#include "wire/MembershipCodec.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration acceptRetry = 100ms; // when the process has no descriptor left
// A greeting or the address of a tunnel.
constexpr std::size_t maxFirstFrameBytes = 16 * 1024;
// Connections that have not sent their first frame, where the number of descriptors is not limited.
constexpr std::size_t maxUnknownLinks = 1024;
// Their part of a limited number of descriptors.
constexpr std::size_t unknownLinksPart = 8;
// Where a list of evacuations came from, for the log. Only what the store said is passed on by this instance: what
// peers said is passed on by the gossip itself.
constexpr std::string_view storeOrigin = "store";
// Both links and tunnels send at once.
constexpr Duration firstFrameBound = 3s;

std::size_t mostUnknownLinks(const DaemonSettings& settings)
{
    auto descriptors = static_cast<std::size_t>(settings.maxDescriptors);
    return descriptors == 0 ? maxUnknownLinks
                            : std::clamp<std::size_t>(descriptors / unknownLinksPart, 1, maxUnknownLinks);
}

Membership::Options makeMembershipOptions(const DaemonSettings& settings, const std::string& address)
{
    Membership::Options options;
    auto sinceBoot = std::chrono::duration_cast<std::chrono::milliseconds>(readMonotonicClock().time_since_epoch());
    options.self = { settings.instance, settings.dataCentre, settings.region, address,
        makeIncarnation(static_cast<std::uint64_t>(sinceBoot.count())) };
    options.self.capacity = static_cast<std::uint16_t>(settings.cores * 100);
    options.seed = std::random_device {}();
    return options;
}

} // namespace

PeerService::State::State(
    asio::io_context& io, const DaemonSettings& settings, PeerPorts ports, InstanceDirectoryPtr instanceDirectory)
    : io(io)
    , settings(settings)
    , ports(std::move(ports))
    , membership(Membership::Make(makeMembershipOptions(settings, formatEndpoint(this->ports.endpoint()))))
    , source(std::move(instanceDirectory))
    , timer(io)
    , tunnels(io, { [this](const std::string& address) { return findServer(address); } })
{
    updateHeard();
}

std::string PeerService::State::makeHello() const
{
    const auto& self = membership.self();
    HelloFrame hello { self.id, self.incarnation, self.dataCentre, self.region, self.peerAddress };
    hello.capacity = self.capacity;
    return encodeFrame(hello).value_or("");
}

void PeerService::State::handle(const MembershipEvent& event)
{
    if (!stopped) {
        execute(membership.handle(event, readMonotonicClock()));
        scheduleWakeup();
    }
}

void PeerService::State::execute(std::vector<MembershipAction> actions)
{
    for (const auto& action : actions) {
        std::visit(Overload {
                       [&](const SendMembership& it) { transmit(it); },
                       [&](const MembersChanged&) {
                           dropStaleLinks();
                           updateHeard();
                           if (exchange) {
                               exchange->setMembers(heard);
                           }
                           membersChanged();
                       },
                       [&](const RumourReceived& it) { hearRumour(it.rumour); },
                   },
            action);
    }
}

void PeerService::State::transmit(const SendMembership& action)
{
    auto bytes = encodeMembershipMessage(action.message);
    if (bytes.size() > PeerPorts::maxDatagramBytes) {
        sendFrame(action.to, action.address, PeerChannel::Membership, std::move(bytes));
    } else if (auto endpoint = parseEndpoint(action.address)) {
        ports.sendDatagram(*endpoint, bytes);
    }
}

void PeerService::State::updateHeard()
{
    heard.clear();
    std::ranges::copy_if(
        membership.members(), std::back_inserter(heard), [](const Member& it) { return it.incarnation > 0; });
}

void PeerService::State::hearRumour(const Rumour& rumour)
{
    directory.hear(rumour);
    if (auto list = Evacuations::readRumour(rumour); list && settings.watchesEvacuations) {
        takeEvacuations(*list, "peer");
    }
    notifyServers();
    rumourReceiver(rumour);
}

void PeerService::State::notifyServers()
{
    if (!directory.takeChanged()) {
        return;
    }
    if (auto overruled = directory.overruled(); std::exchange(overruledServers, overruled) != overruled) {
        LogLine(overruled > 0 ? LogLevel::Warning : LogLevel::Info, "missing_servers_used").add("servers", overruled);
    }
    tellServers();
}

void PeerService::State::tellServers() const
{
    auto servers = directory.servers();
    evacuations.mark(servers);
    serversChanged(std::move(servers));
}

void PeerService::State::takeEvacuations(const EvacuationList& list, std::string_view origin)
{
    bool wasKnown = evacuations.isKnown();
    auto change = evacuations.learn(list, readMonotonicClock());
    if (change.empty() && wasKnown) {
        return;
    }
    if (source) {
        source->setEvacuations(evacuations.list());
    }
    if (change.empty()) {
        return;
    }
    logEvacuations(change, origin);
    if (origin == storeOrigin) {
        handle(RumourPublished { *evacuations.makeRumour() });
        handle(GossipUrgent {});
    }
    // Before the first list, an empty one would be taken for a fleet without servers, and others would be ordered.
    if (serversRead) {
        tellServers();
    }
}

void PeerService::State::logEvacuations(const Evacuations::Change& change, std::string_view origin) const
{
    auto log = [&](std::string_view event, const DataCentreId& dataCentre) {
        LogLine(LogLevel::Warning, event)
            .add("data_centre", dataCentre.value())
            .add("servers", std::ranges::count(directory.servers(), dataCentre, &BackendServer::dataCentre))
            .add("revision", evacuations.list().revision)
            .add("source", origin);
    };
    for (const auto& dataCentre : change.begun) {
        log("evacuation_began", dataCentre);
    }
    for (const auto& dataCentre : change.ended) {
        log("evacuation_ended", dataCentre);
    }
}

void PeerService::State::scheduleWakeup()
{
    auto next = membership.nextWakeup();
    timer.expires_after(std::max(Duration(0), *next - readMonotonicClock()));
    timer.async_wait([weak = weak_from_this()](error_code ec) {
        auto self = weak.lock();
        if (ec || !self || self->stopped) {
            return;
        }
        self->execute(self->membership.advance(readMonotonicClock()));
        self->scheduleWakeup();
    });
}

// The greeting names the sender's incarnation, so a restart is known before its first message is read.
void PeerService::State::noteGreeting(const HelloFrame& hello)
{
    Member member { hello.instance, hello.dataCentre, hello.region, hello.peerAddress, hello.incarnation };
    member.capacity = hello.capacity;
    handle(MemberDiscovered { std::move(member) });
}

void PeerService::State::receive(const HelloFrame& from, PayloadFrame frame)
{
    if (stopped) {
        return;
    }
    auto channel = static_cast<PeerChannel>(frame.channel);
    if (channel == PeerChannel::Membership) {
        if (auto message = decodeMembershipMessage(frame.payload)) {
            handle(MembershipReceived { std::move(*message) });
        }
    } else if (channel == PeerChannel::Directory) {
        if (exchange) {
            exchange->receive(from.instance, frame.payload);
        }
    } else if (auto it = receivers.find(channel); it != receivers.end()) {
        it->second(from.instance, frame.payload);
    }
}

std::shared_ptr<PeerLink> PeerService::State::linkTo(const InstanceId& peer, const std::string& address)
{
    auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return nullptr;
    }
    auto& link = links[peer];
    if (link && link->endpoint() == *endpoint) {
        return link;
    }
    if (link) {
        link->close();
    }
    std::weak_ptr<State> weak = weak_from_this();
    PeerLink::Options options { peer, *endpoint, {}, {}, {} };
    options.makeHello = [weak] {
        auto self = weak.lock();
        return self ? self->makeHello() : std::string();
    };
    options.greeted = [weak](const HelloFrame& hello) {
        if (auto self = weak.lock()) {
            self->noteGreeting(hello);
        }
    };
    options.lost = [weak, peer] {
        if (auto self = weak.lock(); self && !self->stopped) {
            self->peerLost(peer);
        }
    };
    link = std::make_shared<PeerLink>(io, std::move(options));
    return link;
}

void PeerService::State::sendFrame(
    const InstanceId& to, const std::string& address, PeerChannel channel, std::string payload)
{
    auto frame = encodeFrame(PayloadFrame { static_cast<std::uint8_t>(channel), std::move(payload) });
    if (!frame) {
        LogLine(LogLevel::Error, "peer_message_too_large").add("peer", to.value()).add("error", frame.error().message);
        return;
    }
    if (auto link = stopped ? nullptr : linkTo(to, address)) {
        link->send(std::move(*frame));
    }
}

void PeerService::State::dropStaleLinks()
{
    std::set<InstanceId> living;
    for (const auto& member : membership.members()) {
        if (member.state != MemberState::Dead) {
            living.insert(member.id);
        }
    }
    for (auto it = links.begin(); it != links.end();) {
        if (living.contains(it->first)) {
            ++it;
        } else {
            it->second->close();
            it = links.erase(it);
        }
    }
}

asio::awaitable<void> PeerService::State::acceptLinks()
{
    asio::steady_timer retry(io);
    while (!stopped) {
        auto socket = co_await ports.accept();
        if (stopped) {
            break;
        }
        if (!socket) {
            retry.expires_after(acceptRetry);
            co_await retry.async_wait(useTuple);
            continue;
        }
        asio::co_spawn(io, receiveFirst(std::move(*socket)), [self = shared_from_this()](const std::exception_ptr&) {});
    }
}

asio::awaitable<void> PeerService::State::receiveFirst(tcp::socket accepted)
{
    // Shared, as the timer may outlive this coroutine's frame by one turn of the loop.
    auto socket = std::make_shared<tcp::socket>(std::move(accepted));
    UnknownLinks::Entry entry(unknownLinks, socket);
    if (unknownLinks.closeOldestAbove(mostUnknownLinks(settings))) {
        LogLine(LogLevel::Warning, "unknown_peers_limit_reached").add("connections", unknownLinks.size());
    }
    asio::steady_timer bound(io, firstFrameBound);
    bound.async_wait([socket](error_code ec) {
        if (!ec) {
            socket->close(ec);
        }
    });
    FrameDecoder decoder(maxFirstFrameBytes);
    std::string received;
    Outcome<std::optional<Frame>> first = std::optional<Frame>();
    while (first && !*first) {
        std::array<char, 1024> buf;
        auto [ec, n] = co_await socket->async_read_some(asio::buffer(buf), useTuple);
        if (ec) {
            co_return;
        }
        received.append(buf.data(), n);
        decoder.append({ buf.data(), n });
        first = decoder.next();
    }
    bool expired = bound.cancel() == 0;
    if (!first || expired || stopped) {
        co_return;
    }
    if (const auto* address = tunnelPayload(**first)) {
        tunnels.serve(std::move(*socket), *address);
    } else {
        openSession(std::move(*socket), std::move(received));
    }
}

void PeerService::State::openSession(tcp::socket socket, std::string received)
{
    auto holder = std::make_shared<std::weak_ptr<PeerSession>>();
    PeerSession::Handlers handlers;
    handlers.greeted = [self = this](const HelloFrame& hello) {
        self->noteGreeting(hello);
        return true;
    };
    handlers.received
        = [self = this](const HelloFrame& from, PayloadFrame frame) { self->receive(from, std::move(frame)); };
    handlers.closed = [self = this, holder] { self->sessions.erase(holder->lock()); };
    auto session
        = std::make_shared<PeerSession>(std::move(socket), makeHello(), std::move(handlers), std::move(received));
    *holder = session;
    sessions.insert(session);
    session->start();
}

std::optional<tcp::endpoint> PeerService::State::findServer(const std::string& address) const
{
    bool isListed = std::ranges::any_of(directory.servers(), [&](const auto& it) { return it.address == address; });
    auto endpoint = parseEndpoint(address);
    return isListed && endpoint ? std::optional(*endpoint) : std::nullopt;
}

asio::awaitable<void> PeerService::State::receiveDatagrams()
{
    asio::steady_timer retry(io);
    while (!stopped) {
        auto bytes = co_await ports.receiveDatagram();
        if (!bytes && !stopped) {
            retry.expires_after(acceptRetry);
            co_await retry.async_wait(useTuple);
        } else if (auto message = decodeMembershipMessage(bytes.value_or(""))) {
            handle(MembershipReceived { std::move(*message) });
        }
    }
}

InstanceDirectory::Sink PeerService::State::makeSink()
{
    std::weak_ptr<State> weak = weak_from_this();
    InstanceDirectory::Sink sink;
    sink.instances = [weak](std::vector<Member> members) {
        if (auto self = weak.lock()) {
            self->handle(CandidatesChanged { std::move(members) });
        }
    };
    sink.servers = [weak](std::vector<BackendServer> servers) {
        if (auto self = weak.lock(); self && !self->stopped) {
            self->serversRead = true;
            self->takeServers(std::move(servers));
        }
    };
    sink.evacuations = [weak](const EvacuationList& list) {
        if (auto self = weak.lock(); self && !self->stopped) {
            self->takeEvacuations(list, storeOrigin);
        }
    };
    return sink;
}

void PeerService::State::takeServers(std::vector<BackendServer> servers)
{
    auto rumours = directory.setList(std::move(servers), source->serversRevision());
    for (const auto& rumour : rumours) {
        handle(RumourPublished { rumour });
    }
    // Those that read the list tell the others at once.
    if (!rumours.empty() && exchange->reads()) {
        handle(GossipUrgent {});
    }
    exchange->noteServersChanged();
    notifyServers();
}

void PeerService::State::openExchange()
{
    ReaderRoles::Options options;
    options.self = settings.instance;
    options.dataCentre = settings.dataCentre;
    std::weak_ptr<State> weak = weak_from_this();
    ServerListExchange::Callbacks callbacks;
    callbacks.send = [weak](const InstanceId& to, std::string payload) {
        if (auto self = weak.lock()) {
            self->sendTo(to, PeerChannel::Directory, std::move(payload));
        }
    };
    callbacks.roleChanged = [weak](bool) {
        if (auto self = weak.lock()) {
            self->roleChanged();
        }
    };
    exchange.emplace(io, std::move(options), source, std::move(callbacks));
    exchange->setMembers(heard);
}

void PeerService::State::sendTo(const InstanceId& to, PeerChannel channel, std::string payload)
{
    for (const auto& member : membership.members()) {
        if (member.id == to && member.state != MemberState::Dead) {
            sendFrame(to, member.peerAddress, channel, std::move(payload));
            return;
        }
    }
}

} // namespace lagoonspoke
