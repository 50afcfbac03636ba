#include "external/ObjectStore.h"

namespace lagoonspoke {

asio::awaitable<Outcome<std::uint64_t>> ObjectStore::write(
    std::string key, std::string value, std::optional<std::uint64_t> version) const
{
    if (version) {
        co_return co_await update(std::move(key), std::move(value), *version);
    }
    co_return co_await create(std::move(key), std::move(value));
}

} // namespace lagoonspoke
