#pragma once

#include <memory>

#include <catch2/catch.hpp>

#include "external/ObjectStoreClient.h"
#include "http/HttpServer.h"
#include "standins/StoreStandin.h"

namespace lagoonspoke::test {

// The object store stand-in on a kernel-chosen port, and the io_context that serves it and runs the test's coroutines.
class StoreHarness {
public:
    StoreHarness()
        : m_io(1)
        , m_server(*HttpServer::Make(m_io, { asio::ip::address_v4::loopback(), 0 }, {},
              [this](HttpExchange& exchange) { return m_store.handle(exchange); }))
    {
        m_server->start();
    }

    asio::io_context& io() { return m_io; }
    tcp::endpoint endpoint() const { return m_server->endpoint(); }
    ObjectStoreClient client() const { return { endpoint(), std::chrono::seconds(2) }; }

    template <typename T> T run(asio::awaitable<T> awaitable)
    {
        std::optional<T> result;
        asio::co_spawn(m_io, std::move(awaitable), [&](const std::exception_ptr& exception, T value) {
            REQUIRE_FALSE(exception);
            result.emplace(std::move(value));
        });
        while (!result) {
            m_io.run_one();
        }
        return std::move(*result);
    }

    void setFaults(std::string json)
    {
        HttpCall call;
        call.method = "POST";
        call.target = "/faults";
        call.body = std::move(json);
        auto reply = run(callHttp(endpoint(), std::move(call), std::chrono::seconds(2)));
        REQUIRE(reply->status == 200);
    }

    std::string stats()
    {
        HttpCall call;
        call.target = "/stats";
        return run(callHttp(endpoint(), std::move(call), std::chrono::seconds(2)))->body;
    }

private:
    asio::io_context m_io;
    StoreStandin m_store;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace lagoonspoke::test
