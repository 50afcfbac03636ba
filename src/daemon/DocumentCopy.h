#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "external/ObjectCollection.h"
#include "external/ObjectStore.h"

namespace lagoonspoke {

// The copy of the configuration document that instances store while the document in the store is older than the one in
// force. Instances that start read it; it goes once the document is as new. Owned by DocumentService; used on the
// control thread only.
class DocumentCopy {
public:
    struct Document {
        std::uint64_t number = 0;
        std::string text;
    };
    struct Callbacks {
        std::function<std::uint64_t(std::string_view text)> numberOf; // 0 for a text that cannot be read
        std::function<Document()> inForce;
        // What the store had at the start; nothing where it has no copy.
        std::function<void(std::optional<Document>)> read;
    };

    // The name is that of the document in its collection.
    DocumentCopy(asio::io_context&, std::string name, ObjectCollectionPtr, ObjectStorePtr, Callbacks);
    ~DocumentCopy();

    // Reads the copy, again and again until the store answers.
    void start();
    // Runs no callback afterwards.
    void stop();
    // Stores the document in force, unless a fresh read of the store shows one that is as new.
    void keep();
    // Removes the copy that was read at the start.
    void remove();

private:
    struct State;

    // Shared with the coroutines of calls, which end some time after stop().
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
