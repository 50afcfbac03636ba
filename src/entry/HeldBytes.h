#pragma once

#include <cstddef>
#include <memory>

namespace lagoonspoke {

// Counts the bytes of answers that are held back until they are whole, over all requests of a traffic thread. Owned by
// the CallerService; its shares may outlive it, as the requests that still run at the end of the process do.
class HeldBytes {
public:
    // Above it, answers are passed on as they come. A machine may have no more than 160 MB for the whole process.
    static constexpr std::size_t mostTotal = 16 << 20;

    bool hasRoom() const { return *m_total <= mostTotal; }
    std::size_t total() const { return *m_total; }

    // The bytes of one answer. Owned by its AnswerRelay.
    class Share {
    public:
        explicit Share(const HeldBytes& held)
            : m_total(held.m_total)
        {
        }
        ~Share() { set(0); }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        void set(std::size_t n)
        {
            *m_total += n - m_bytes;
            m_bytes = n;
        }

    private:
        std::shared_ptr<std::size_t> m_total;
        std::size_t m_bytes = 0;
    };

private:
    std::shared_ptr<std::size_t> m_total = std::make_shared<std::size_t>(0);
};

} // namespace lagoonspoke
