// Combines lambdas, one for each alternative of a variant, into a visitor for std::visit.
#pragma once

namespace ivyreel {

template <class... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace ivyreel
