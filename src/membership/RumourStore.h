#pragma once

#include <map>
#include <optional>
#include <vector>

#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// The rumours that an instance knows, each with the highest version received. Owned by Membership.
class RumourStore {
public:
    struct Options {
        std::size_t maxCount = 1024; // the oldest rumour is evicted for a new one
        // Of key and payload together; a larger rumour would leave no room for others in a message.
        std::size_t maxBytes = 512;
        Duration lifetime = std::chrono::minutes(15); // since publication
    };

    explicit RumourStore(Options options)
        : m_options(options)
    {
    }

    // Stores the rumour if it is unknown or its version is higher, and returns whether it did. Too large or expired
    // rumours are rejected.
    bool put(const Rumour&, MonotonicTime now);
    // The rumour with its age as of now, unless it is unknown or expired.
    std::optional<Rumour> find(const std::string& key, MonotonicTime now) const;
    std::vector<Rumour> all(MonotonicTime now) const;
    void dropExpired(MonotonicTime now);

private:
    struct Entry {
        Rumour rumour;
        MonotonicTime published;
    };

    void dropOldest();

    Options m_options;
    std::map<std::string, Entry> m_entries;
};

} // namespace lagoonspoke
