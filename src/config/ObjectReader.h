#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "lagoonspoke/config/Configuration.h"
#include "settings/JsonReader.h"

namespace lagoonspoke {

inline constexpr std::array<std::string_view, 7> objectKinds
    = { "tier", "class", "team", "deployment", "service", "route", "installation" };

// Names one configuration object.
struct ObjectKey {
    std::string kind;
    std::string name;

    auto operator<=>(const ObjectKey&) const = default;
};

// "KIND/NAME"
std::string toString(const ObjectKey&);

// Reads "kind" and "name" of one object {"kind", "name", "spec"}. Mistakes go into the reader's list of errors.
std::optional<ObjectKey> readObjectKey(JsonReader&);

// Reads the spec of an object that the configuration does not have and adds it.
void insertObject(JsonReader& spec, const ObjectKey&, Configuration&);

// Removes the object; whether there was one.
bool eraseObject(const ObjectKey&, Configuration&);

// The tier's own name, or "tier-LEVEL" when it was built without one.
std::string nameOfTier(const TierSpec&);

} // namespace lagoonspoke
