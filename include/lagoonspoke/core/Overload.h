#pragma once

namespace lagoonspoke {

// Combines lambdas into one visitor for std::visit.
template <typename... Visitors> struct Overload : Visitors... {
    using Visitors::operator()...;
};

template <typename... Visitors> Overload(Visitors...) -> Overload<Visitors...>;

} // namespace lagoonspoke
