#pragma once

#include <cstdint>

namespace lagoonspoke {

// Epoch of the lease under which an order or report is sent. Receivers refuse a token lower than one they have seen.
enum class FencingToken : std::uint64_t {};

} // namespace lagoonspoke
