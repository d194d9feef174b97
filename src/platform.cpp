#include <walnutmill/platform.hpp>

namespace walnutmill
{

namespace
{
constexpr std::size_t scan_page_rows = 500;
}

result<std::vector<row>>
scan_all(table_service const& table, std::string_view prefix)
{
    std::vector<row> rows;
    std::string after;
    for (;;)
    {
        auto page = table.scan(prefix, after, scan_page_rows);
        if (!page)
            return page.error();
        auto& found = page.value().rows;
        for (auto& one : found)
            rows.push_back(std::move(one));
        if (!page.value().more || rows.empty())
            return rows;
        after = rows.back().key;
    }
}

} // namespace walnutmill
