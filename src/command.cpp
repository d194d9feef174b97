#include <walnutmill/command.hpp>

#include <array>

namespace walnutmill
{
namespace
{

constexpr std::array<std::string_view, 11> table_names{
    "targets", "programs", "services", "nodes",         "machines", "zones",
    "links",   "orders",   "holds",    "configuration", "changes"};

constexpr std::array<std::string_view, 5> kind_names{
    "service", "workspace", "target", "zone", "limits"};

struct help_topic
{
    std::string_view word;
    std::string_view text;
};

constexpr std::string_view overview =
    R"(Ask:
  show TABLE [where FIELD OP VALUE [and ...]] [order by FIELD [desc]]
             [sum FIELD by FIELD] [limit N]
  show changes [since VERSION] ...
  show program ID    show command ID    explain program ID
  TABLE: targets programs services nodes machines zones links orders holds
         configuration changes
  OP: = != < <= > >= ~ (contains)   VALUE: word, "text", 12.5, 250ms, 3s
Order:
  create service|workspace|target|zone NAME [KEY=VALUE ...]
  alter service|workspace|target NAME set KEY=VALUE ...
  alter limits set KEY=VALUE ...
  remove service|workspace|target|zone NAME
  load|unload model|adapter NAME[@VERSION] on TARGET ...
  set role ROLE on TARGET ...
  wake|drain|stop|expunge TARGET ...
  set budget UNITS for PROGRAM
  end program ID
  apply configuration [CLAUSES] {JSON document}
Clauses after any order: reason "TEXT"   now   at version N
Put `plan` before an order to see what it would change.
help TOPIC: show, explain, create, alter, load, stop, apply, plan, changes
)";

constexpr std::array<help_topic, 9> topics{{
    {"show",
     R"(show TABLE lists one row per item. Conditions joined by `and` must all
hold; `sum FIELD by FIELD` adds up one field per value of another and counts
the rows. Every answer says how old it is and which nodes did not answer.
Example: show programs where state = waiting and waited > 5s limit 20
Example: show programs sum spent by workspace
)"},
    {"explain",
     R"(explain program ID lists the decisions about a program with their
reasons: when it waited, was placed, moved or refused. Nodes keep the latest
decisions in memory only.
)"},
    {"create",
     R"(create KIND NAME KEY=VALUE ... adds to the configuration. Keys are those
of the document; lists are separated by commas.
Example: create target bern-9 zone=bern-hall address=http://10.0.0.9:9000
Example: create service desk-llm model=desk targets=bern-1,bern-2
)"},
    {"alter",
     R"(alter KIND NAME set KEY=VALUE ... changes the configuration.
Example: alter workspace bern set weight=2 at version 41
Example: alter limits set max_turns=64
)"},
    {"load",
     R"(load model NAME on TARGET ... adds to what the target is to have loaded;
unload takes it off. A version is part of the name: findaid@7. Loads share the
weight store's limit over all nodes.
)"},
    {"stop",
     R"(wake TARGET ...     in service: powered on, models loaded, takes work
drain TARGET ...    no new work; work in flight ends; cache is dropped
stop TARGET ...     drain, then power off
expunge TARGET ...  drain, then power off, for good: it cannot be undone
With `now`, stop and expunge do not wait for running work. An expunged target
that cannot be reached is given up at once.
Example: stop bern-3 reason "fan is loud"
)"},
    {"apply",
     R"(apply configuration [at version N] {...} puts a whole document in force.
All its findings are listed when it is refused.
)"},
    {"plan",
     R"(plan ORDER shows what the order would change and changes nothing.
Example: plan drain bern-1 bern-2
)"},
    {"changes",
     R"(show changes since VERSION lists accepted and refused changes and orders
after that configuration version, with operator, reason and result.
)"},
}};

} // namespace

std::string_view to_string(table_kind kind)
{
    return table_names.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(object_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::string to_text(syntax_error const& error)
{
    return "at " + std::to_string(error.position) + ": expected " +
           error.expected + ", found " + error.found;
}

std::string help_text(std::string_view topic)
{
    if (topic == "unload")
        topic = "load";
    if (topic == "wake" || topic == "drain" || topic == "expunge")
        topic = "stop";
    for (auto const& known : topics)
    {
        if (known.word == topic)
            return std::string(known.text);
    }
    return std::string(overview);
}

} // namespace walnutmill
