#pragma once

#include <algorithm>

namespace lagoonspoke {

// Limits the retries of a domain to a fraction of its fresh requests, with a burst allowance. Owned by a dispatcher.
class DispatchRetryBudget {
public:
    explicit DispatchRetryBudget(double retryFraction)
        : m_retryFraction(retryFraction)
    {
    }

    void recordFresh() { m_available = std::min(burst, m_available + m_retryFraction); }
    // Uses one retry of the budget; false if none is available.
    bool take()
    {
        if (m_available < 1) {
            return false;
        }
        m_available -= 1;
        return true;
    }

private:
    // Allows all requests of one backend server to be retried when it dies during low traffic.
    static constexpr double burst = 20;

    double m_retryFraction;
    double m_available = burst;
};

} // namespace lagoonspoke
