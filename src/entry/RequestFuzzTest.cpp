#include <random>

#include "entry/CallerServiceFixture.h"
#include "entry/RequestAdmission.h"
#include "entry/TokenCounter.h"
#include "http/SseReader.h"

// Seeded, bounded mutations of valid inputs. They guard against crashes, endless loops and broken invariants in the
// code that handles bytes from callers and backend servers.

namespace lagoonspoke::testing {

namespace {

constexpr int mutations = 2000;
constexpr std::uint64_t seed = 20261204;

// Replaces, removes, repeats or inserts a few bytes.
std::string mutate(std::string text, std::mt19937_64& random)
{
    static constexpr std::string_view special = "\r\n\0:{}[]\",. /%2e\xff";
    auto below = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    for (auto n = 1 + below(4); n > 0 && !text.empty(); --n) {
        auto at = below(text.size());
        switch (below(5)) {
        case 0:
            text[at] = static_cast<char>(below(256));
            break;
        case 1:
            text[at] = special[below(special.size())];
            break;
        case 2:
            text.erase(at, 1 + below(16));
            break;
        case 3:
            text.insert(at, text.substr(at, 1 + below(32)));
            break;
        default:
            text.insert(at, 1, special[below(special.size())]);
        }
    }
    return text;
}

CallerHead parseHead(const std::string& text)
{
    CallerHead head;
    std::size_t at = 0;
    for (bool first = true; at < text.size(); first = false) {
        auto end = std::min(text.find('\n', at), text.size());
        auto line = text.substr(at, end - at);
        at = end + 1;
        auto split = std::min(line.find(first ? ' ' : ':'), line.size());
        auto rest = split < line.size() ? line.substr(split + 1) : std::string();
        if (first) {
            head.method = line.substr(0, split);
            head.target = rest;
        } else {
            head.headers.emplace_back(line.substr(0, split), rest);
        }
    }
    return head;
}

} // namespace

TEST_CASE("no mutated request carries its key on, and an admitted one has a team and a class")
{
    std::mt19937_64 random(seed);
    auto snapshot = Fixture::makeSnapshot(true);
    const auto head = fmt::format("POST /v1/chat/completions\nauthorization:Bearer {}\naccept:text/plain\n"
                                  "x-lagoonspoke-class:batch\ntraceparent:{}\nconnection:close, accept",
        key, std::string(key).substr(1));
    const auto body = fmt::format(
        R"({{"model":"m","max_tokens":5,"messages":[{{"role":"user","content":"{}"}}]}})", std::string(key).substr(1));
    int admittedCount = 0;
    for (int i = 0; i < mutations; ++i) {
        // One part at a time, so that most inputs pass the checks before the mutated part.
        bool mutateHead = i % 2 == 0;
        auto text = mutateHead ? mutate(head, random) : head;
        auto admitted = admitHead(*snapshot, parseHead(text));
        if (!admitted) {
            continue;
        }
        auto presented = admitted->key;
        auto mutatedBody = mutateHead ? body : mutate(body, random);
        if (!admitBody(*snapshot, *admitted, mutatedBody)) {
            continue;
        }
        ++admittedCount;
        REQUIRE(admitted->team);
        REQUIRE(admitted->classSpec);
        REQUIRE(admitted->key.empty());
        BackendHead sentHead { "h", "id", Tier { 1 }, Tokens { 3 } };
        sentHead.bodyBytes = mutatedBody.size();
        auto sent = formatBackendHead(*admitted, sentHead);
        REQUIRE((sent + mutatedBody).find(presented) == std::string::npos);
    }
    // The mutations are mild enough to reach the checks behind the first ones.
    REQUIRE(admittedCount > 100);
}

TEST_CASE("mutated streams are split into events that add up to the input")
{
    std::mt19937_64 random(seed + 1);
    const std::string stream
        = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n: note\r\n\r\n"
          "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\ndata: [DONE]\n\n";
    for (int i = 0; i < mutations; ++i) {
        auto text = mutate(stream, random);
        SseReader reader;
        TokenCounter counter;
        std::string whole;
        for (std::size_t at = 0; at < text.size();) {
            auto n = 1 + static_cast<std::size_t>(random() % 40);
            reader.append(std::string_view(text).substr(at, n));
            at += n;
            while (auto event = reader.next()) {
                whole += *event;
                counter.observe(*event);
                TokenCounter::isPreamble(*event);
            }
        }
        REQUIRE(text.starts_with(whole));
        REQUIRE(reader.hasPartialEvent() == (whole.size() < text.size()));
        REQUIRE(counter.output() >= Tokens { 0 });
    }
}

TEST_CASE("mutated requests on the wire get at most complete responses and leave the service working")
{
    std::mt19937_64 random(seed + 2);
    Fixture f([](DaemonSettings& it) { it.maxBodyBytes = 4096; });
    f.granting = false;
    const auto request = "GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1234567890\r\n\r\n"
        + completion("transfer-encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n");
    f.run([&]() -> asio::awaitable<void> {
        for (int i = 0; i < 300; ++i) {
            RawCaller caller(f.io);
            co_await caller.connect(f.server->endpoint());
            co_await caller.send(mutate(request, random));
            caller.finishSending();
            auto response = co_await caller.readAll();
            REQUIRE(response.find(key) == std::string::npos);
        }
        auto models
            = co_await f.ask("GET /v1/models HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-1234567890\r\n\r\n");
        REQUIRE(models.find("200 OK") != std::string::npos);
    });
    REQUIRE(f.finished.empty());
}

TEST_CASE("mutated answers never look complete unless the backend server's answer was")
{
    std::mt19937_64 random(seed + 3);
    Fixture f([](DaemonSettings& it) { it.tokenGapTimeout = it.firstByteTimeout = std::chrono::milliseconds(200); });
    auto answer = std::string(streamHead) + token("a") + chunk("data: [DONE]\n\n") + "0\r\n\r\n";
    f.run([&]() -> asio::awaitable<void> {
        for (int i = 0; i < 300; ++i) {
            auto mutated = mutate(answer, random);
            f.first.add({ Send { mutated }, Close {} });
            f.second.clear();
            auto response = co_await f.ask(completion("x-idempotent: false\r\n", streamBody));
            CAPTURE(mutated);
            CAPTURE(response);
            bool stream = response.find("Transfer-Encoding: chunked") != std::string::npos;
            bool complete = response.ends_with("0\r\n\r\n");
            REQUIRE((!stream || !complete || response.find("data:") != std::string::npos));
            REQUIRE((!stream || !complete || mutated.find("[DONE]") != std::string::npos));
        }
    });
}

} // namespace lagoonspoke::testing
