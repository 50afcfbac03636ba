#include "daemon/ServerListExchange.h"

#include <algorithm>
#include <random>

#include "membership/Rendezvous.h"
#include "observe/LogLine.h"
#include "wire/ConfigurationCodec.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

// At which readers tell that they are there, and peers are asked while the store cannot be read.
constexpr Duration tickInterval = 400ms;
constexpr std::size_t askedPeers = 2;

// Asks for the list if it is newer than the revision.
std::string encodeAsk(std::uint64_t revision)
{
    return encodeConfigurationMessage(HeadNotice { revision, {}, true });
}

} // namespace

struct ServerListExchange::State : std::enable_shared_from_this<State> {
    State(asio::io_context& io, ReaderRoles::Options options, InstanceDirectoryPtr directory, Callbacks given)
        : timer(io)
        , self(options.self)
        , roles(std::move(options))
        , source(std::move(directory))
        , callbacks(std::move(given))
    {
    }

    static asio::awaitable<void> run(std::shared_ptr<State>);
    void tick();
    void updateRole();
    void askSome();
    void noteNotice(const InstanceId& from, const HeadNotice&);
    // Whether the list is at most a moment older than the store's: as read, or as told by a reader.
    bool isRecent() const { return !reading || source->isCurrent(); }
    void answer(const InstanceId& from, const HeadNotice&) const;
    void take(const InstanceId& from, const std::string& text);

    asio::steady_timer timer;
    InstanceId self;
    ReaderRoles roles;
    InstanceDirectoryPtr source;
    Callbacks callbacks;
    std::vector<InstanceId> peers;
    std::minstd_rand random { std::random_device {}() };
    bool reading = true;
    WatchTurn turn;
    bool stopped = false;
};

ServerListExchange::ServerListExchange(
    asio::io_context& io, ReaderRoles::Options options, InstanceDirectoryPtr directory, Callbacks callbacks)
    : m_state(std::make_shared<State>(io, std::move(options), std::move(directory), std::move(callbacks)))
{
}

ServerListExchange::~ServerListExchange()
{
    stop();
}

void ServerListExchange::start()
{
    asio::co_spawn(m_state->timer.get_executor(), State::run(m_state), asio::detached);
}

void ServerListExchange::stop()
{
    if (!std::exchange(m_state->stopped, true)) {
        m_state->timer.cancel();
    }
}

asio::awaitable<void> ServerListExchange::State::run(std::shared_ptr<State> state)
{
    while (!state->stopped) {
        state->tick();
        state->timer.expires_after(tickInterval);
        co_await state->timer.async_wait(useTuple);
    }
}

void ServerListExchange::State::tick()
{
    updateRole();
    if (roles.isReader() && source->isCurrent()) {
        auto notice = encodeConfigurationMessage(HeadNotice { source->serversRevision(), {}, false });
        for (const auto& listener : roles.listeners()) {
            callbacks.send(listener, notice);
        }
    } else if (reading && !source->isCurrent()) {
        askSome();
    }
}

void ServerListExchange::State::updateRole()
{
    auto reads = roles.reads(readMonotonicClock());
    bool changed = std::exchange(reading, reads) != reads;
    if (changed) {
        LogLine(LogLevel::Info, "store_reader_changed").add("reads", reads).add("revision", source->serversRevision());
    }
    if (std::exchange(turn, roles.turn()) != roles.turn() || changed) {
        source->setReading(reads, turn);
    }
    if (changed) {
        callbacks.roleChanged(reads);
    }
}

void ServerListExchange::State::askSome()
{
    std::vector<InstanceId> asked;
    std::ranges::sample(peers, std::back_inserter(asked), askedPeers, random);
    for (const auto& peer : asked) {
        callbacks.send(peer, encodeAsk(source->serversRevision()));
    }
}

void ServerListExchange::setMembers(const std::vector<Member>& members)
{
    m_state->peers = listOthers(members, m_state->self);
    m_state->roles.setMembers(members, readMonotonicClock());
    m_state->updateRole();
}

void ServerListExchange::noteServersChanged()
{
    if (!m_state->roles.isReader() || m_state->roles.listeners().empty()) {
        return;
    }
    auto change = encodeConfigurationMessage(BlobReply { {}, m_state->source->shareLastChange() });
    for (const auto& listener : m_state->roles.listeners()) {
        m_state->callbacks.send(listener, change);
    }
}

void ServerListExchange::State::noteNotice(const InstanceId& from, const HeadNotice& notice)
{
    auto now = readMonotonicClock();
    roles.noteReader(from, now);
    auto revision = source->serversRevision();
    if (roles.isFollowed(from, now) && !reading && notice.number > revision) {
        callbacks.send(from, encodeAsk(revision));
    }
    updateRole();
}

void ServerListExchange::State::answer(const InstanceId& from, const HeadNotice& ask) const
{
    if (!isRecent() || source->serversRevision() <= ask.number) {
        return;
    }
    if (auto text = source->shareServers(); !text.empty()) {
        callbacks.send(from, encodeConfigurationMessage(BlobReply { {}, std::move(text) }));
    }
}

void ServerListExchange::State::take(const InstanceId& from, const std::string& text)
{
    auto heard = source->hearServers(text);
    if (heard) {
        return;
    }
    if (heard.error().code == ErrorCode::Conflict) {
        callbacks.send(from, encodeAsk(source->serversRevision()));
        return;
    }
    LogLine(LogLevel::Warning, "peer_message_refused").add("peer", from.value()).add("error", heard.error().message);
}

void ServerListExchange::receive(const InstanceId& from, std::string_view payload)
{
    auto message = decodeConfigurationMessage(payload);
    if (!message) {
        LogLine(LogLevel::Warning, "peer_message_refused")
            .add("peer", from.value())
            .add("error", message.error().message);
    } else if (const auto* notice = std::get_if<HeadNotice>(&*message)) {
        if (notice->replyWanted) {
            m_state->answer(from, *notice);
        } else {
            m_state->noteNotice(from, *notice);
        }
    } else if (const auto* reply = std::get_if<BlobReply>(&*message); reply && reply->content) {
        m_state->take(from, *reply->content);
    }
}

bool ServerListExchange::reads() const
{
    return m_state->reading;
}

WatchTurn ServerListExchange::turn() const
{
    return m_state->roles.turn();
}

std::vector<InstanceId> ServerListExchange::recipients() const
{
    return m_state->roles.recipients();
}

} // namespace lagoonspoke
