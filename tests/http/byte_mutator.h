#ifndef TARRAGON_TESTS_HTTP_BYTE_MUTATOR_H_
#define TARRAGON_TESTS_HTTP_BYTE_MUTATOR_H_

#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::http {

/** @return one of the seeds after some random edits, which insert words of the format among them.
 */
inline std::string MutateOneOf(const std::vector<std::string>& seeds,
                               const std::vector<std::string>& words) {
  std::string text = *rc::gen::elementOf(seeds);
  for (int edits = *rc::gen::inRange(0, 6); edits > 0; --edits) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const auto length = std::min(*rc::gen::inRange<std::size_t>(0, 12), text.size() - at);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        text.erase(at, length);
        break;
      case 1:
        text.insert(at, *rc::gen::elementOf(words));
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      case 3:
        text.insert(at, 1, static_cast<char>(*rc::gen::inRange(0, 256)));
        break;
      default:
        text += *rc::gen::elementOf(seeds);
    }
  }
  return text;
}

}  // namespace tarragon::http

#endif  // TARRAGON_TESTS_HTTP_BYTE_MUTATOR_H_
