#pragma once

#include <optional>
#include <string>
#include <vector>

#include "external/ObjectStore.h"
#include "http/HttpClient.h"

namespace lagoonspoke {

// Client of the product's own object store interface. Copyable; holds no connection.
class ObjectStoreClient final : public WatchableObjectStore {
public:
    ObjectStoreClient(tcp::endpoint, Duration bound);

    asio::awaitable<Outcome<StoredObject>> get(std::string key) const override;
    asio::awaitable<Outcome<std::uint64_t>> create(std::string key, std::string value) const override;
    asio::awaitable<Outcome<std::uint64_t>> update(
        std::string key, std::string value, std::uint64_t version) const override;
    asio::awaitable<Outcome<void>> remove(std::string key, std::uint64_t version) const override;
    asio::awaitable<Outcome<std::vector<ObjectEntry>>> list(std::string prefix) const override;
    asio::awaitable<Outcome<std::optional<StoredObject>>> watch(
        std::string key, std::uint64_t after, Duration wait) const override;

private:
    asio::awaitable<Outcome<std::uint64_t>> put(std::string key, std::string value, HeaderList condition) const;

    tcp::endpoint m_endpoint;
    Duration m_bound;
};

} // namespace lagoonspoke
