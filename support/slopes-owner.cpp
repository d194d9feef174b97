/// \file
/// What a program costs its owner: processor time, memory and journal bytes,
/// and what it takes to rebuild it.

#include "slopes-allocations.hpp"
#include "slopes-sections.hpp"

#include "program_owner.hpp"

#include <chrono>
#include <iomanip>
#include <iostream>
#include <malloc.h>

namespace walnutmill
{
namespace slopes
{
namespace
{

constexpr std::uint32_t calls_per_program = 4;
constexpr std::size_t text_bytes = 400;

std::shared_ptr<configuration const> one_service()
{
    auto config = std::make_shared<configuration>();
    config->version = 1;
    target_config engine;
    engine.name = target_name("e1");
    engine.slots = 1u << 20;
    config->targets.push_back(engine);
    service_config service;
    service.name = service_name("chat");
    service.targets = {engine.name};
    config->services.push_back(service);
    workspace_config workspace;
    workspace.name = workspace_name("bern");
    workspace.services = {service.name};
    config->workspaces.push_back(workspace);
    config->limits.max_programs_per_node = 1u << 20;
    return config;
}

/// An owner whose commits succeed and whose engine answers at once.
class instant_owner
{
public:
    instant_owner()
        : config_(one_service()),
          owner_(plain_scheduling([config = config_] { return config; }), 1)
    {
        owner_.set_configuration(config_);
        owner_.load_shard(0, 1, {}, clock_.now());
    }

    void run_program(std::uint32_t index)
    {
        auto const id = program_id("p" + std::to_string(index));
        ask(create_request{
            id, {}, workspace_name("bern"), 100'000, request_id("new")});
        for (std::uint32_t n = 1; n <= calls_per_program; ++n)
        {
            call_request call;
            call.program = id;
            call.workspace = workspace_name("bern");
            call.number = n;
            call.request = request_id("c" + std::to_string(n));
            call.service = service_name("chat");
            call.input.assign(text_bytes, 'i');
            call.max_tokens = 100;
            ask(call);
        }
    }

    std::vector<journal_record> const& journal() const { return journal_; }
    std::uint64_t journal_bytes() const { return journal_bytes_; }
    void forget_journal() { journal_ = {}; }

private:
    void ask(caller_request const& request)
    {
        owner_.request(
            request, {[](stream_event const&) {}, [](caller_result const&) {}},
            clock_.now());
        pump();
    }

    void pump()
    {
        for (bool more = true; more;)
        {
            owner_.tick(clock_.now());
            auto effects = owner_.take_effects();
            more = !effects.empty();
            for (auto& effect : effects)
                execute(effect);
        }
    }

    void execute(owner_effect& effect)
    {
        if (auto* append = std::get_if<append_effect>(&effect))
        {
            journal_bytes_ += encode_records(append->records).size();
            for (auto& record : append->records)
                journal_.push_back(std::move(record));
            owner_.on_committed(append->token, clock_.now());
        }
        else if (auto const* model = std::get_if<model_effect>(&effect))
        {
            owner_.on_answer(
                model->attempt, {std::string(text_bytes, 'o'), 100, 100},
                clock_.now());
        }
    }

    manual_clock clock_;
    std::shared_ptr<configuration const> config_;
    program_owner owner_;
    std::vector<journal_record> journal_;
    std::uint64_t journal_bytes_ = 0;
};

double seconds_since(std::chrono::steady_clock::time_point began)
{
    return std::chrono::duration<double>(
               std::chrono::steady_clock::now() - began)
        .count();
}

void measure(std::uint32_t programs)
{
    auto const before = mallinfo2().uordblks;
    instant_owner owner;
    auto const began = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < programs; ++i)
        owner.run_program(i);
    auto const ran = seconds_since(began);
    auto const bytes = encode_records(owner.journal());
    auto const journal = double(owner.journal_bytes());
    owner.forget_journal();
    auto const held = double(mallinfo2().uordblks - before - bytes.size());
    auto const again = std::chrono::steady_clock::now();
    auto const records = decode_records(bytes);
    program_owner next(plain_scheduling([] { return one_service(); }), 1);
    next.load_shard(0, 2, records.value(), time_point());
    auto const loaded = seconds_since(again);
    auto const calls = double(programs) * calls_per_program;
    std::cout << std::setw(10) << programs << std::setw(14) << ran / calls * 1e6
              << std::setw(16) << held / programs << std::setw(18)
              << journal / calls << std::setw(20) << programs / loaded << '\n';
}

} // namespace

void run_owner_section(std::uint32_t)
{
    std::cout << "\nowner: programs of " << calls_per_program << " calls, "
              << text_bytes
              << " bytes in and out, commits and engine answer at once\n"
              << std::fixed << std::setprecision(1) << std::setw(10)
              << "programs" << std::setw(14) << "us per call" << std::setw(16)
              << "bytes/program" << std::setw(18) << "journal bytes/call"
              << std::setw(20) << "programs rebuilt/s" << '\n';
    for (std::uint32_t programs : {1'000u, 3'000u, 10'000u, 30'000u, 100'000u})
        measure(programs);
}

} // namespace slopes
} // namespace walnutmill
