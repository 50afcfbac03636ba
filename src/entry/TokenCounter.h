#pragma once

#include <optional>
#include <string_view>

#include <boost/json/fwd.hpp>

#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Counts the tokens of one answer over all its attempts. Owned by the coroutine that runs the request.
class TokenCounter {
public:
    enum class EventKind {
        Token, // carries output; model engines send one token in an event
        Other, // role, finish reason, usage, comment
        Done, // "data: [DONE]", the end of the answer
        Invalid, // data that is neither a JSON object nor the end marker
    };

    EventKind observe(std::string_view sseEvent);
    // Counts an event of a stream whose events say nothing else.
    void countEvent() { m_output += Tokens { 1 }; }
    // Reads the usage object of a whole JSON answer.
    void observeBody(std::string_view json);
    // A new attempt continues after the tokens counted so far.
    void startAttempt();
    bool isResumed() const { return m_resumed; }
    // Whether the event is a chunk without output, finish reason or usage, such as one that only gives the role.
    static bool isPreamble(std::string_view sseEvent);

    Tokens output() const { return m_output; }
    // As counted by the model engine; absent when it sent no usage object.
    std::optional<Tokens> prompt() const { return m_prompt; }

private:
    void observeUsage(const boost::json::object&);

    Tokens m_output;
    bool m_resumed = false;
    std::optional<Tokens> m_prompt;
};

} // namespace lagoonspoke
