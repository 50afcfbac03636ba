#include "membership/GossipQueue.h"

#include <algorithm>

namespace lagoonspoke {

void GossipQueue::add(Subject subject, std::size_t bytes)
{
    m_items[std::move(subject)] = { bytes, 0 };
}

std::vector<GossipQueue::Subject> GossipQueue::select(std::size_t budgetBytes, int sendLimit)
{
    using Iterator = std::map<Subject, Item>::iterator;
    std::vector<Iterator> order;
    for (auto it = m_items.begin(); it != m_items.end(); ++it) {
        order.push_back(it);
    }
    std::ranges::stable_sort(order, {}, [](const Iterator& it) { return it->second.sent; });
    std::vector<Subject> selected;
    for (auto& it : order) {
        if (it->second.bytes > budgetBytes) {
            continue;
        }
        budgetBytes -= it->second.bytes;
        selected.push_back(it->first);
        if (++it->second.sent >= sendLimit) {
            m_items.erase(it);
        }
    }
    return selected;
}

} // namespace lagoonspoke
