#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "config/ConfigurationHead.h"
#include "config/ObjectReader.h"

namespace lagoonspoke {

// Contents of the shards by digest.
using BlobMap = std::map<ContentDigest, std::string>;
using ShardTexts = std::array<std::string, shardCount>;

// A reply of a peer carries one shard in a frame of at most 1 MiB, and the object store's values have the same bound.
inline constexpr std::size_t maxShardBytes = 1000 * 1000;

std::size_t shardOf(const ObjectKey&);
std::string emptyShardText();

// The canonical text {"objects": [...]} of every shard, objects sorted by kind and name.
ShardTexts writeShards(const Configuration&);

// The configuration of a head from the contents of its shards. Checks every digest and reference; a missing blob is
// an error as well.
tl::expected<Configuration, std::vector<Error>> readShards(const ConfigurationHead&, const BlobMap&);

// The same from the configuration of a former head, reading only the shards that differ. The blobs include the former
// head's shards.
tl::expected<Configuration, std::vector<Error>> readChangedShards(
    const ConfigurationHead&, const BlobMap&, const ConfigurationHead& formerHead, const Configuration& former);

// Objects whose text differs between two sets of shards, sorted. Shards with equal digests need no blob.
std::vector<ObjectKey> findChangedObjects(
    const ConfigurationHead& before, const ConfigurationHead& after, const BlobMap&);

} // namespace lagoonspoke
