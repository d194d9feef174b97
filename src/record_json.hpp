#ifndef WALNUTMILL_SRC_RECORD_JSON_HPP
#define WALNUTMILL_SRC_RECORD_JSON_HPP

/// \file
/// One record as a JSON value, for batches and for checkpoints. Both throw
/// nlohmann's exceptions or std::invalid_argument on a malformed value.

#include <walnutmill/record.hpp>

#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace detail
{

nlohmann::json record_to_json(journal_record const& record);
journal_record record_from_json(nlohmann::json const& j);

} // namespace detail
} // namespace walnutmill

#endif
