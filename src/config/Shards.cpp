#include "config/Shards.h"

#include <cassert>
#include <set>

#include <fmt/format.h>

#include "config/CanonicalJson.h"
#include "config/ObjectChanges.h"
#include "config/ObjectWriter.h"

namespace lagoonspoke {

namespace {

// The objects of one shard's text by key; nothing of a text that cannot be read.
std::map<ObjectKey, std::string> splitShard(std::string_view text)
{
    std::map<ObjectKey, std::string> objects;
    std::vector<Error> errors;
    auto value = parseJson(text);
    const auto* object = value ? value->if_object() : nullptr;
    const auto* list = object ? object->if_contains("objects") : nullptr;
    if (!list || !list->is_array()) {
        return objects;
    }
    for (const auto& it : list->get_array()) {
        JsonReader reader(it, "", errors);
        if (auto key = readObjectKey(reader)) {
            objects.emplace(std::move(*key), serialiseCanonically(it));
        }
    }
    return objects;
}

void checkPlacement(const ObjectPaths& paths, std::size_t shard, std::vector<Error>& errors)
{
    for (const auto& [key, path] : paths) {
        if (shardOf(key) != shard) {
            errors.push_back({ ErrorCode::ProtocolViolation,
                fmt::format("{} belongs to shard {}", toString(key), shardOf(key)), path });
        }
    }
}

// Adds the objects of one shard to the configuration.
void readShard(std::size_t shard, const ContentDigest& digest, const BlobMap& blobs, Configuration& configuration,
    std::vector<Error>& errors)
{
    auto path = fmt::format("shards[{}]", shard);
    auto blob = blobs.find(digest);
    if (blob == blobs.end() || digestContent(blob->second) != digest) {
        errors.push_back({ ErrorCode::ProtocolViolation,
            fmt::format("the content with digest {} is missing", digest.value()), path });
        return;
    }
    auto value = parseJson(blob->second);
    if (!value) {
        errors.push_back({ ErrorCode::ProtocolViolation, value.error().message, path });
        return;
    }
    JsonReader reader(*value, path, errors);
    checkPlacement(applyObjects(reader.readObjects("objects"), configuration, AbsentObjects::Report), shard, errors);
    reader.rejectUnknownFields();
}

// Removes the objects of one shard's text from the configuration.
void removeShard(const ContentDigest& digest, const BlobMap& blobs, Configuration& configuration)
{
    auto blob = blobs.find(digest);
    assert(blob != blobs.end());
    std::vector<Error> errors;
    auto value = parseJson(blob->second);
    JsonReader reader(*value, "", errors);
    for (auto& object : reader.readObjects("objects")) {
        if (auto key = readObjectKey(object)) {
            eraseObject(*key, configuration);
        }
    }
}

} // namespace

std::size_t shardOf(const ObjectKey& key)
{
    return stableHash(toString(key)) % shardCount;
}

std::string emptyShardText()
{
    return R"({"objects":[]})";
}

ShardTexts writeShards(const Configuration& configuration)
{
    ShardTexts texts;
    for (const auto& [key, text] : writeObjects(configuration)) {
        auto& shard = texts[shardOf(key)];
        shard += shard.empty() ? R"({"objects":[)" : ",";
        shard += text;
    }
    for (auto& shard : texts) {
        if (shard.empty()) {
            shard = emptyShardText();
        } else {
            shard += "]}";
        }
    }
    return texts;
}

tl::expected<Configuration, std::vector<Error>> readShards(const ConfigurationHead& head, const BlobMap& blobs)
{
    return readChangedShards(head, blobs, {}, {});
}

tl::expected<Configuration, std::vector<Error>> readChangedShards(const ConfigurationHead& head, const BlobMap& blobs,
    const ConfigurationHead& formerHead, const Configuration& former)
{
    std::vector<Error> errors;
    auto configuration = former;
    configuration.number = head.number;
    std::vector<std::size_t> changed;
    for (std::size_t i = 0; i < shardCount; ++i) {
        if (head.shards[i] != formerHead.shards[i]) {
            changed.push_back(i);
        }
    }
    // All former objects go first, as a tier's level may pass to a tier of another shard.
    for (auto i : changed) {
        if (!formerHead.shards[i].empty()) {
            removeShard(formerHead.shards[i], blobs, configuration);
        }
    }
    for (auto i : changed) {
        readShard(i, head.shards[i], blobs, configuration, errors);
    }
    if (errors.empty()) {
        checkReferences(configuration, {}, {}, errors);
    }
    if (!errors.empty()) {
        return tl::make_unexpected(errors);
    }
    return configuration;
}

std::vector<ObjectKey> findChangedObjects(
    const ConfigurationHead& before, const ConfigurationHead& after, const BlobMap& blobs)
{
    std::set<ObjectKey> changed;
    auto textOf = [&](const ContentDigest& digest) {
        auto it = blobs.find(digest);
        return it == blobs.end() ? std::string() : it->second;
    };
    for (std::size_t i = 0; i < shardCount; ++i) {
        if (before.shards[i] == after.shards[i]) {
            continue;
        }
        auto former = splitShard(textOf(before.shards[i]));
        auto latter = splitShard(textOf(after.shards[i]));
        for (const auto& [key, text] : former) {
            if (auto it = latter.find(key); it == latter.end() || it->second != text) {
                changed.insert(key);
            }
        }
        for (const auto& [key, text] : latter) {
            if (!former.contains(key)) {
                changed.insert(key);
            }
        }
    }
    return { changed.begin(), changed.end() };
}

} // namespace lagoonspoke
