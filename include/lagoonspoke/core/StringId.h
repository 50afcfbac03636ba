#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <utility>

namespace lagoonspoke {

// A textual identifier whose type keeps, say, a team name from being passed as a model name.
template <typename Tag> class StringId {
public:
    StringId() = default;
    explicit StringId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    auto operator<=>(const StringId&) const = default;

    template <typename H> friend H AbslHashValue(H hash, const StringId& id)
    {
        return H::combine(std::move(hash), id.m_value);
    }

private:
    std::string m_value;
};

} // namespace lagoonspoke
