#pragma once

namespace snipemill {

// Joins lambdas to one visitor for std::visit.
template <class... F>
struct overloaded : F...
{
    using F::operator()...;
};

template <class... F>
overloaded(F...) -> overloaded<F...>;

} // namespace snipemill
