#ifndef WALNUTMILL_SRC_OPERATE_STORE_HPP
#define WALNUTMILL_SRC_OPERATE_STORE_HPP

/// \file
/// Joins the operators' desk to the configuration in the platform.

#include <walnutmill/config_store.hpp>
#include <walnutmill/operate.hpp>

namespace walnutmill
{

/// Sets the hooks `head` and `propose`. The store must outlive them.
void use_store(operate_hooks& hooks, config_store const& store);

} // namespace walnutmill

#endif
