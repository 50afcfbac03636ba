#pragma once

#include <map>
#include <string>
#include <vector>

#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// Updates to piggyback on probes. A newer update replaces an older one of the same subject; each is sent a limited
// number of times, the least sent first. Owned by Membership.
class GossipQueue {
public:
    enum class Kind { Member, Rumour };
    struct Subject {
        Kind kind;
        std::string key; // instance id or rumour key

        auto operator<=>(const Subject&) const = default;
    };

    // `bytes` is the encoded size of the update in a message.
    void add(Subject, std::size_t bytes);
    void remove(const Subject& subject) { m_items.erase(subject); }
    // Selects what fits into the budget; an update that was selected sendLimit times is removed from the queue.
    std::vector<Subject> select(std::size_t budgetBytes, int sendLimit);
    std::size_t size() const { return m_items.size(); }

private:
    struct Item {
        std::size_t bytes = 0;
        int sent = 0;
    };

    std::map<Subject, Item> m_items;
};

} // namespace lagoonspoke
