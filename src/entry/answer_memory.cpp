#include "entry/answer_memory.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace walnutmill
{

struct answer_memory::state
{
    std::size_t limit = 0;
    std::size_t size = 0;
    std::vector<held_answer*> answers;
};

answer_memory::answer_memory(std::size_t limit)
    : state_(std::make_shared<state>())
{
    state_->limit = limit;
}

std::size_t answer_memory::size() const
{
    return state_->size;
}

held_answer::~held_answer()
{
    clear();
}

void held_answer::append(
    answer_memory& memory, std::string_view bytes,
    std::function<void()> const& on_dropped)
{
    if (!memory_)
    {
        memory_ = memory.state_;
        memory_->answers.push_back(this);
        on_dropped_ = on_dropped;
    }
    text_.append(bytes);
    auto const shared = memory_;
    shared->size += bytes.size();
    auto const shorter = [](held_answer const* a, held_answer const* b)
    { return a->text_.size() < b->text_.size(); };
    while (shared->size > shared->limit)
    {
        auto& longest = **std::max_element(
            shared->answers.begin(), shared->answers.end(), shorter);
        auto const notify = std::move(longest.on_dropped_);
        longest.clear();
        notify();
    }
}

void held_answer::clear()
{
    on_dropped_ = {};
    if (memory_)
    {
        memory_->size -= text_.size();
        auto& all = memory_->answers;
        all.erase(std::remove(all.begin(), all.end(), this), all.end());
        memory_.reset();
    }
    text_ = std::string();
}

} // namespace walnutmill
