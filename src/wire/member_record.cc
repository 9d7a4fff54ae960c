#include "tarragon/wire/member_record.h"

#include <array>

namespace tarragon::wire {

std::string_view ToString(member_state state) {
  constexpr std::array<std::string_view, 4> kNames = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

}  // namespace tarragon::wire
