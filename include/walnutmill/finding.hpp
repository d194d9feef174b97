#ifndef WALNUTMILL_FINDING_HPP
#define WALNUTMILL_FINDING_HPP

/// \file
/// Errors in input are collected with their place and reported together.

#include <string>
#include <utility>
#include <vector>

namespace walnutmill
{

/// One thing wrong with an input.
struct finding
{
    /// Where: a flag, an environment variable or a JSON pointer.
    std::string place;
    std::string message;
};

/// All that is wrong with an input; empty means it is sound.
class findings
{
public:
    void add(std::string place, std::string message)
    {
        items_.push_back({std::move(place), std::move(message)});
    }
    bool empty() const noexcept { return items_.empty(); }
    std::vector<finding> const& items() const noexcept { return items_; }

private:
    std::vector<finding> items_;
};

} // namespace walnutmill

#endif
