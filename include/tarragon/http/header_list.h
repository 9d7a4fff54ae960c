#ifndef TARRAGON_HTTP_HEADER_LIST_H_
#define TARRAGON_HTTP_HEADER_LIST_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::http {

struct header {
  std::string name;
  std::string value;

  bool operator==(const header&) const = default;
};

/** Compares two strings, such as header names (RFC 9110, 5.1), ignoring ASCII case. */
bool EqualsIgnoringAsciiCase(std::string_view a, std::string_view b);

/** Headers of one message in order of arrival; a name may occur more than once. */
class header_list final {
 public:
  void Add(std::string name, std::string value);

  /** Replaces all headers of that name by one. */
  void Set(std::string name, std::string value);

  void Remove(std::string_view name);

  /** @return the value of the first header of that name, or null. */
  const std::string* Find(std::string_view name) const;

  /** @return whether a comma-separated list in that header has `token`, ignoring ASCII case. */
  bool HasToken(std::string_view name, std::string_view token) const;

  /**
   * Removes the hop-by-hop headers: those of RFC 9110, 7.6.1, those that `Connection` names, and
   * those that delimit the body.
   */
  void RemoveHopByHop();

  const std::vector<header>& all() const { return headers_; }

  /** Appends `name: value` lines, without the empty line at the end. */
  void AppendTo(std::string& text) const;

 private:
  std::vector<header> headers_;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_HEADER_LIST_H_
