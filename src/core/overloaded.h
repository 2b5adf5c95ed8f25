/* Combines lambdas to a visitor for std::visit, one for each alternative of a variant. */
#ifndef RHUBARBTRAIL_CORE_OVERLOADED_H
#define RHUBARBTRAIL_CORE_OVERLOADED_H

namespace rhubarbtrail {

template<class... Visitors>
struct Overloaded : Visitors...
{
  using Visitors::operator()...;
};

template<class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace rhubarbtrail

#endif
