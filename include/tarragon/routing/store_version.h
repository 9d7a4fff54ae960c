#ifndef TARRAGON_ROUTING_STORE_VERSION_H_
#define TARRAGON_ROUTING_STORE_VERSION_H_

#include <fmt/format.h>

#include <compare>
#include <cstdint>

namespace tarragon::routing {

/**
 * A point in the history of the store. When the store returns from a copy, its numbers go back and
 * are given out again in a new era, so that versions are ordered by era first. A row that the copy
 * has kept is read with the new era and its old number.
 */
struct store_version {
  constexpr store_version() = default;
  /** A version of a store that names no era. */
  constexpr store_version(std::uint64_t only_number)  // NOLINT(google-explicit-constructor)
      : number(only_number) {}
  constexpr store_version(std::uint64_t in_era, std::uint64_t own_number)
      : era(in_era), number(own_number) {}

  auto operator<=>(const store_version&) const = default;

  std::uint64_t era = 0;
  std::uint64_t number = 0;
};

}  // namespace tarragon::routing

/** Writes `era/number`, or the number alone if the store names no era. */
template <>
struct fmt::formatter<tarragon::routing::store_version> {
  constexpr auto parse(fmt::format_parse_context& context) { return context.begin(); }

  template <typename Context>
  auto format(const tarragon::routing::store_version& version, Context& context) const {
    return version.era == 0 ? fmt::format_to(context.out(), "{}", version.number)
                            : fmt::format_to(context.out(), "{}/{}", version.era, version.number);
  }
};

#endif  // TARRAGON_ROUTING_STORE_VERSION_H_
