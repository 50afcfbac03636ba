#include "dispatch/Dispatcher.h"

#include "dispatch/queue/BaselineDispatcher.h"
#include "dispatch/queue/PolicyDispatcher.h"

namespace lagoonspoke {

Dispatcher Dispatcher::Make(DomainId domain)
{
    return Make(std::move(domain), {});
}

Dispatcher Dispatcher::Make(DomainId domain, const DispatchOptions& options)
{
    if (options.policy == DispatchPolicy::Lagoonspoke) {
        auto policy = std::make_unique<PolicyDispatcher>(domain, options);
        return Dispatcher(std::move(domain), std::move(policy));
    }
    return Dispatcher(std::move(domain), std::make_unique<BaselineDispatcher>(options));
}

Dispatcher::Dispatcher(DomainId domain, Implementation implementation)
    : m_domain(std::move(domain))
    , m_implementation(std::move(implementation))
{
}

Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;
Dispatcher::~Dispatcher() = default;

std::vector<DispatchAction> Dispatcher::handle(const DispatchEvent& event, MonotonicTime now)
{
    return std::visit([&](auto& it) { return it->handle(event, now); }, m_implementation);
}

std::vector<DispatchAction> Dispatcher::advance(MonotonicTime now)
{
    return std::visit([&](auto& it) { return it->advance(now); }, m_implementation);
}

std::optional<MonotonicTime> Dispatcher::nextWakeup() const
{
    return std::visit([](const auto& it) { return it->nextWakeup(); }, m_implementation);
}

DispatchLoad Dispatcher::load() const
{
    return std::visit([](const auto& it) { return it->load(); }, m_implementation);
}

DispatchSummary Dispatcher::summarize() const
{
    return std::visit([](const auto& it) { return it->summarize(); }, m_implementation);
}

const DispatchCounters& Dispatcher::counters() const
{
    return std::visit([](const auto& it) -> const DispatchCounters& { return it->counters(); }, m_implementation);
}

} // namespace lagoonspoke
