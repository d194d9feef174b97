#ifndef WALNUTMILL_SRC_DIRECT_CALL_HPP
#define WALNUTMILL_SRC_DIRECT_CALL_HPP

/// \file
/// Repeatable calls of plain services that belong to no program: the entry
/// node routes them at once, without an owner and without a record.

#include "caller_server.hpp"
#include "owner_duty.hpp"

#include <functional>
#include <memory>

namespace walnutmill
{

/// Makes one call, trying again as the retry hook allows. The scheduling hooks
/// run on the owner's thread.
class direct_caller
{
public:
    using done_fn = std::function<void(result<call_answer>)>;

    direct_caller(
        scheduling_hooks hooks, owner_duty& owner, target_client& targets,
        clock_fn clock);

    void call(
        std::shared_ptr<configuration const> const& config,
        direct_request request, done_fn done);

private:
    struct attempt;
    using attempt_ptr = std::shared_ptr<attempt>;

    void place(attempt_ptr const& call, time_point now);
    void send(attempt_ptr const& call, target_name const& target);
    void failed(attempt_ptr const& call, refusal why, time_point now);

    scheduling_hooks hooks_;
    owner_duty& owner_;
    target_client& targets_;
    clock_fn clock_;
};

} // namespace walnutmill

#endif
