#pragma once

#include <cstddef>
#include <memory>

namespace lagoonspoke {

// Counts the bytes that callers sent for their present requests, over all connections of a server, so that many bodies
// that are each inside the limit do not take the process's memory. Owned by an HttpServer; its shares may outlive it.
class HeldInput {
public:
    explicit HeldInput(std::size_t most)
        : m_state(std::make_shared<State>(State { most, 0 }))
    {
    }

    std::size_t total() const { return m_state->total; }

private:
    struct State {
        std::size_t most;
        std::size_t total;
    };

public:
    // The bytes of one connection. Owned by it.
    class Share {
    public:
        explicit Share(const HeldInput& held)
            : m_state(held.m_state)
        {
        }
        ~Share() { set(0); }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        void set(std::size_t n)
        {
            m_state->total += n - m_bytes;
            m_bytes = n;
        }
        // Whether the request may go on. Above the limit small ones still do, so that a few callers with large bodies
        // keep nobody else out.
        bool isAdmitted() const
        {
            bool isSmall = m_bytes <= m_state->most / smallPart && m_state->total <= 2 * m_state->most;
            return m_state->total <= m_state->most || isSmall;
        }

    private:
        // 128 KiB of the default limit of 32 MiB.
        static constexpr std::size_t smallPart = 256;

        std::shared_ptr<State> m_state;
        std::size_t m_bytes = 0;
    };

private:
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
