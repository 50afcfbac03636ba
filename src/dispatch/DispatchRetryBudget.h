#pragma once

#include <algorithm>

namespace lagoonspoke {

// Bounds retries to a part of the fresh requests of a domain. Owned by a dispatcher.
class DispatchRetryBudget {
public:
    explicit DispatchRetryBudget(double part)
        : m_retryFraction(part)
    {
    }

    void noteFresh() { m_available = std::min(burst, m_available + m_retryFraction); }
    // Takes one retry from the budget if there is one.
    bool take()
    {
        if (m_available < 1) {
            return false;
        }
        m_available -= 1;
        return true;
    }

private:
    // The requests of one engine that dies at a quiet time may all be sent again.
    static constexpr double burst = 20;

    double m_retryFraction;
    double m_available = burst;
};

} // namespace lagoonspoke
