#include "http/NumberedEventReader.h"

#include <utility>

#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

void NumberedEventReader::startAttempt()
{
    m_parts.reset();
    m_attemptId.reset();
}

std::optional<NumberedEventReader::Item> NumberedEventReader::next()
{
    while (auto text = m_parts.next()) {
        if (auto item = read(*text)) {
            return item;
        }
    }
    if (m_parts.overflowed()) {
        return FaultyPart { StreamFault::TooLarge, {} };
    }
    return std::nullopt;
}

std::optional<NumberedEventReader::Item> NumberedEventReader::read(std::string_view text)
{
    return std::visit(Overload {
                          [](StreamComment) { return std::optional<Item>(); },
                          [&](StreamFault fault) {
                              return std::optional<Item>(FaultyPart { fault, text });
                          },
                          [&](const NumberedEvent& event) -> std::optional<Item> {
                              auto previous = std::exchange(m_attemptId, event.id);
                              if (previous && event.id <= *previous) {
                                  return FaultyPart { StreamFault::IdNotIncreasing, text };
                              }
                              ++m_eventCount;
                              if (m_lastId && event.id <= *m_lastId) {
                                  return std::nullopt;
                              }
                              m_lastId = event.id;
                              return event;
                          },
                      },
        parseNumberedEvent(text));
}

} // namespace lagoonspoke
