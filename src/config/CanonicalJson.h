#pragma once

#include <string>

#include <boost/json.hpp>

namespace lagoonspoke {

// Serialises with sorted field names, no white space and numbers rounded to six decimals, so that equal values have
// equal bytes on every instance and build. The order of arrays is kept.
std::string serialiseCanonically(const boost::json::value&);

// The nearest multiple of 0.000001. Boost.JSON may read a decimal number one unit in the last place off; rounding
// after reading restores the value that was written.
double roundToDecimals(double);

} // namespace lagoonspoke
