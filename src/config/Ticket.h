#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/ObjectReader.h"
#include "lagoonspoke/core/Digest.h"

namespace lagoonspoke {

// A numbered change ticket {"ticket": N, "objects": [{"kind", "name", "spec" | null}]}. Immutable.
class Ticket {
public:
    // Reads the text and every object in it; on failure gives every mistake with its path.
    static tl::expected<Ticket, std::vector<Error>> Make(std::string_view text);

    std::uint64_t number() const { return m_number; }
    // The ticket with sorted fields and without white space; two texts of the same content have the same digest.
    const std::string& text() const { return m_text; }
    const ContentDigest& digest() const { return m_digest; }
    // Sorted by kind and name.
    const std::vector<ObjectKey>& objects() const { return m_objects; }

    // The configuration after this ticket, checked as a whole; on failure gives every mistake with the path of the
    // ticket's field.
    tl::expected<Configuration, std::vector<Error>> apply(const Configuration& before) const;

private:
    Ticket() = default;

    std::uint64_t m_number = 0;
    std::string m_text;
    ContentDigest m_digest;
    std::vector<ObjectKey> m_objects;
};

} // namespace lagoonspoke
