#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "lagoonspoke/config/ConfigurationSnapshot.h"
#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Reads a configuration from an installation's document; on failure gives every mistake.
using DecodeDocument = std::function<tl::expected<Configuration, std::vector<Error>>(std::string_view text)>;

// The document as the store has it.
struct DocumentRead {
    std::string text;
};
struct DocumentStoreReachable {
    bool reachable = true;
};
// The peers that can be reached, without this instance.
struct DocumentPeersChanged {
    std::vector<InstanceId> peers;
};
// Whether this instance reads the store, and which peers it passes changes on to; none where each reads for itself.
struct DocumentRoleChanged {
    bool reads = true;
    std::vector<InstanceId> recipients;
};
// The number that a peer has in force; 0 without a configuration.
struct DocumentNumberHeard {
    InstanceId from;
    std::uint64_t number = 0;
    bool replyWanted = false;
};
struct DocumentWanted {
    InstanceId from;
};
// A peer's document, or the copy that the fleet keeps in the store.
struct DocumentReceived {
    InstanceId from;
    std::string text;
};

using DocumentEvent = std::variant<DocumentRead, DocumentStoreReachable, DocumentPeersChanged, DocumentNumberHeard,
    DocumentWanted, DocumentReceived, DocumentRoleChanged>;

struct ApplyDocument {
    SnapshotPtr snapshot;
};
struct TellNumber {
    std::vector<InstanceId> peers;
    std::uint64_t number = 0;
    bool replyWanted = false;
};
struct AskForDocument {
    InstanceId peer;
};
struct SendDocument {
    InstanceId peer;
    std::string text;
};
// A document that cannot take effect; the configuration in force stays.
struct ReportInvalidDocument {
    std::vector<Error> errors;
};

// The store has an older document than the one in force, as after it was restored from a copy. The newer one may be in
// the memory of instances alone, so it has to be stored again, for those that start when no other one is left.
struct KeepDocument {
    std::uint64_t storedNumber = 0;
    std::uint64_t number = 0;
};

using DocumentAction
    = std::variant<ApplyDocument, TellNumber, AskForDocument, SendDocument, ReportInvalidDocument, KeepDocument>;

// Decides which configuration document is in force: the one with the highest number that the store or a peer gave.
// A number never goes back. Pure; owned by DocumentService.
class DocumentFollower {
public:
    struct Options {
        std::uint64_t seed = 0;
        // Peers that are told of a new number, and that are asked while the store is away.
        std::size_t fanOut = 8;
        std::size_t askedPeers = 3;
        // Peers with a newer number that are remembered, to ask them in turn.
        std::size_t maxHolders = 4;
        Duration askInterval = std::chrono::milliseconds(400);
        // An instance that does not read the store asks one peer at this interval, in case it was not told.
        Duration listenerAskInterval = std::chrono::seconds(1);
        // Time after the first document in which peers are asked whether they have a newer one: the store may have been
        // restored from a copy just before.
        Duration confirmationTime = std::chrono::seconds(2);
        // The store tells most instances by itself within this time; only then a peer is asked.
        Duration storeHeadStart = std::chrono::milliseconds(150);
    };

    DocumentFollower(Options, DecodeDocument);

    std::vector<DocumentAction> handle(const DocumentEvent&, MonotonicTime now);
    std::vector<DocumentAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const;

    std::uint64_t number() const { return m_number; }
    const std::string& text() const { return m_text; }
    // The number of a document; 0 if it cannot be read.
    std::uint64_t numberOf(std::string_view text) const;

private:
    struct Newer {
        std::vector<InstanceId> peers; // that have it; the next one to ask first
        std::uint64_t number = 0;
        MonotonicTime askAt;
    };

    void take(const std::string& text, bool isFromStore, MonotonicTime now);
    void hearNumber(const DocumentNumberHeard&, MonotonicTime now);
    void addHolder(const InstanceId&);
    void removeLostHolders();
    void askForNewer(MonotonicTime now);
    std::vector<InstanceId> pickPeers(std::size_t count);
    bool isAlone() const { return (m_reads && !m_reachable) || m_number == 0; }
    bool asks() const { return (isAlone() || !m_reads || m_confirmsUntil) && !m_peers.empty(); }
    void askPeers(MonotonicTime now);
    std::vector<InstanceId> peersToTell();

    Options m_options;
    DecodeDocument m_decode;
    std::mt19937_64 m_random;
    std::vector<DocumentAction> m_actions;
    std::vector<InstanceId> m_peers;
    std::uint64_t m_number = 0;
    std::string m_text;
    std::string m_refused; // the last document that could not take effect
    bool m_reachable = false;
    bool m_hasReadStore = false;
    bool m_reads = true;
    std::vector<InstanceId> m_recipients;
    std::optional<Newer> m_newer; // a number above ours that peers have
    std::optional<MonotonicTime> m_confirmsUntil;
    MonotonicTime m_nextAsk {};
};

} // namespace lagoonspoke
