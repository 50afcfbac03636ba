#pragma once

#include <algorithm>
#include <string>
#include <string_view>

#include <flatbuffers/flatbuffers.h>

#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke::detail {

// Text of an optional string field.
inline std::string toText(const flatbuffers::String* field)
{
    return field ? field->str() : std::string();
}

inline std::string toText(const flatbuffers::Vector<std::uint8_t>* field)
{
    return field ? std::string(reinterpret_cast<const char*>(field->data()), field->size()) : std::string();
}

// An absent field is smaller than an empty string.
inline flatbuffers::Offset<flatbuffers::String> writeText(
    flatbuffers::FlatBufferBuilder& builder, const std::string& text)
{
    return text.empty() ? flatbuffers::Offset<flatbuffers::String>() : builder.CreateString(text);
}

inline flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> writeBytes(
    flatbuffers::FlatBufferBuilder& builder, const std::string& bytes)
{
    return bytes.empty() ? flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>()
                         : builder.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

inline std::string finishBuffer(flatbuffers::FlatBufferBuilder& builder)
{
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

// The root table after checking every offset of the buffer, or null. The buffer must outlive the table and must be
// aligned for 8-byte fields, as the data of a std::string is.
template <typename Root> const Root* verifyRoot(std::string_view buffer)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(buffer.data()), buffer.size());
    return verifier.VerifyBuffer<Root>(nullptr) ? flatbuffers::GetRoot<Root>(buffer.data()) : nullptr;
}

// Clamps to a range in which sums of a few durations and a time cannot overflow.
inline Duration readDuration(std::int64_t nanoseconds)
{
    return std::clamp<Duration>(Duration(nanoseconds), Duration(0), std::chrono::hours(24 * 365));
}

// Converts a wire number to an enumeration whose last value is given.
template <typename Enum> bool readEnum(std::uint8_t number, Enum last, Enum& out)
{
    out = static_cast<Enum>(number);
    return number <= static_cast<std::uint8_t>(last);
}

} // namespace lagoonspoke::detail
