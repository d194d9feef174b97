#ifndef WALNUTMILL_SRC_ENTRY_VERSION_REGISTER_HPP
#define WALNUTMILL_SRC_ENTRY_VERSION_REGISTER_HPP

/// \file
/// Registers, in a row of the store for each service, the software versions of
/// engines at which streams may begin.
///
/// No stream begins at a version before the row names it. A single read of the
/// row therefore tells at which versions any stream can have begun, also after
/// all nodes have lost their memory. As long as there is one, a stream may
/// resume there without a record of its own; a record for each stream would
/// cost every node a few KB a second all the time.
///
/// A version is announced in the row some time before streams begin there.
/// Meanwhile most nodes learn of it and copy the origins of the streams that
/// they serve.
///
/// A row that is lost or cannot be decoded may have named any version. It is
/// written again with the versions that the node remembers and with a further
/// one, unknown_version(), that counts as long as a version that was registered
/// at that moment. Until then nobody infers a version from the row.

#include <walnutmill/clock.hpp>
#include <walnutmill/random.hpp>
#include <walnutmill/routing_table.hpp>
#include <walnutmill/stream_origin.hpp>
#include <walnutmill/versioned_store.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// A version in the row of its service. Times are those of the store's steady
/// clock.
struct registered_version
{
    std::string version;
    /// No stream begins here before this time.
    std::chrono::milliseconds begins_at{0};
    /// Nodes in touch with the store begin no stream here from this time on.
    std::chrono::milliseconds ends_at{0};
};

/// \return the name that stands in a row for versions that are not known. No
/// engine has such a version.
char const* unknown_version();

std::string encode(std::vector<registered_version> const& versions);
/// \return empty if the bytes are malformed
std::optional<std::vector<registered_version>>
decode_registered_versions(std::string_view bytes);

struct version_register_options
{
    /// Time from the moment a node finds a version in the row until it begins
    /// streams there. Nodes that learn of it later copy their streams later.
    std::chrono::milliseconds announcement{1'000};
    /// Part of the announcement that is not relied upon, for clocks that run at
    /// different rates.
    std::chrono::milliseconds announcement_margin{500};
    /// How long the result of a read counts as current. Shorter than the
    /// margin, so that a version it lacks cannot have begun a stream.
    std::chrono::milliseconds read_max_age{300};
    /// A version announced this long ago was in the row when streams began
    /// there. A transaction takes effect some seconds late at most.
    std::chrono::seconds late_transaction{30};
    /// Time for which a version is registered. It is renewed after half of that
    /// time while an engine has the version, by the first node that notices.
    std::chrono::seconds registration{600};
    /// After its registration ends a version counts for this long, since its
    /// streams may still be resumed.
    std::chrono::seconds stream_lifetime = walnutmill::stream_lifetime;
    std::chrono::milliseconds read_timeout{600};
    std::chrono::milliseconds retry_after{400};
    /// Maximum number of versions of a service. Engines of further ones begin
    /// no streams.
    std::size_t max_versions = 64;
};

class version_register
{
public:
    struct hooks
    {
        /// Called when streams of the service may begin at several versions
        /// from now on.
        std::function<void(service_name const&)> on_several_versions;
        /// Called when this node has written the row of a service.
        std::function<void(
            service_name const&, std::vector<registered_version> const&)>
            on_registered;
    };

    /// \return the name of the table of registered versions
    static char const* table();

    /// \param clock also counts the time for which the machine is suspended
    version_register(
        versioned_store store, clock_fn clock, random_fn const& random,
        hooks callbacks, version_register_options options = {});
    ~version_register();
    version_register(version_register const&) = delete;
    version_register& operator=(version_register const&) = delete;

    /// \param engines registered engines of services whose streams may resume
    void set_engines(std::vector<engine_entry> const& engines);
    /// Reads and renews rows when due. Call it a few times per second.
    void tick();

    /// \return true from the moment on when each service had a registered
    /// version among those of its engines
    bool has_registered() const { return has_registered_; }
    /// \return true if streams of the service may begin at this version
    bool
    may_begin(service_name const& service, std::string const& version) const;
    /// \return true unless all streams of the service that may still be resumed
    /// are certain to have begun at one version
    bool has_several(service_name const& service) const;

    /// \param version at which all streams of the service that may still be
    /// resumed have begun; empty if there is no such version or the store did
    /// not answer
    using version_fn =
        std::function<void(std::optional<std::string> const& version)>;
    /// \param done called once, possibly before this returns
    void find_only_version(service_name const& service, version_fn done);

private:
    using rows_type = std::vector<registered_version>;

    /// A read of a row, which several callers may wait for.
    struct row_read
    {
        time_point began{};
        /// Number of rows that the node had taken when the read began.
        std::uint64_t rows_taken = 0;
        std::vector<version_fn> waiting;
    };
    struct service_state
    {
        /// Versions of the engines that are registered now.
        std::set<std::string> engines;
        bool is_known = false;
        rows_type row;
        std::uint64_t row_version = 0;
        /// The row has to be written again: the stored one lacks versions that
        /// still count.
        bool is_incomplete = false;
        /// Number of rows taken from reads and writes.
        std::uint64_t rows_taken = 0;
        /// Time of the store's clock and of the own one when the row was last
        /// read. The latter is that at which the read began.
        std::chrono::milliseconds read_at_store{0};
        time_point read_at{};
        /// From when on streams may begin at a version.
        std::map<std::string, time_point> begins_at;
        std::shared_ptr<row_read> read;
        bool is_writing = false;
        time_point next_attempt_at{};
        bool had_several = false;
    };

    void note_registered();
    void withdraw_returned(
        service_state& of, std::set<std::string> const& engines) const;
    std::chrono::milliseconds store_time(service_state const& of) const;
    bool counts(registered_version const& one, service_state const& of) const;
    std::chrono::milliseconds counts_until(registered_version const& one) const;
    std::optional<std::string> only_version(service_state const& of) const;
    bool is_read_due(service_state const& of) const;
    bool is_write_due(service_state const& of) const;
    bool has_several(service_state const& of) const;
    void report_several(service_name const& service, service_state& of);
    void update(service_name const& service, service_state& of);
    std::shared_ptr<row_read>
    start_read(service_name const& service, service_state& of);
    void read_ended(
        service_name const& service, std::shared_ptr<row_read> const& read,
        range_result const& result);
    void take_read(
        service_state& of, row_read const& read, range_result const& result);
    bool add_lost_versions(
        service_state const& of, std::chrono::milliseconds at_store,
        rows_type& row) const;
    void take_row(
        service_state& of, rows_type row, std::uint64_t row_version,
        std::chrono::milliseconds at_store, time_point at);
    void write(service_name const& service, service_state& of);
    rows_type next_row(service_state const& of) const;

    versioned_store store_;
    clock_fn clock_;
    hooks hooks_;
    version_register_options options_;
    /// Delays this node's renewals, so that one node renews for all.
    std::chrono::milliseconds renewal_delay_;
    std::map<service_name, service_state> services_;
    bool knows_engines_ = false;
    bool has_registered_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif
