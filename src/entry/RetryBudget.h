#pragma once

#include <algorithm>

namespace lagoonspoke {

// Bounds the retries of one domain to a tenth of its fresh requests, so that retries cannot multiply an overload.
// Owned by the CallerService of one traffic thread.
class RetryBudget {
public:
    void countFresh() { m_credit = std::min(m_credit + share, most); }
    bool hasCredit() const { return m_credit >= 1; }
    void take() { m_credit -= 1; }

private:
    static constexpr double share = 0.1;
    // A domain with little traffic can still move the streams of one lost backend server.
    static constexpr double initial = 10;
    // Keeps a long healthy time from saving up an unbounded burst.
    static constexpr double most = 100;

    double m_credit = initial;
};

} // namespace lagoonspoke
