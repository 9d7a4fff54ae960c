#ifndef TARRAGON_HTTP_HEADER_LIST_H_
#define TARRAGON_HTTP_HEADER_LIST_H_

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::http {

struct header {
  std::string name;
  std::string value;

  bool operator==(const header&) const = default;
};

/** One header of a `header_list`; valid until the list changes. */
struct header_view {
  std::string_view name;
  std::string_view value;
};

/** Compares two strings, such as header names (RFC 9110, 5.1), ignoring ASCII case. */
bool EqualsIgnoringAsciiCase(std::string_view a, std::string_view b);

/**
 * Headers of one message in order of arrival; a name may occur more than once. They are stored in
 * one buffer, so that a header of a few bytes costs little more than its line.
 */
class header_list final {
 public:
  static constexpr std::size_t kMaxNameBytes = std::numeric_limits<std::uint16_t>::max();

  class iterator final {
   public:
    using iterator_category = std::input_iterator_tag;
    using value_type = header_view;
    using difference_type = std::ptrdiff_t;
    using pointer = const header_view*;
    using reference = header_view;

    iterator() = default;
    explicit iterator(std::string_view records) : records_(records) { ReadRecord(); }

    header_view operator*() const { return current_; }
    iterator& operator++() {
      records_.remove_prefix(record_size_);
      ReadRecord();
      return *this;
    }
    iterator operator++(int) {
      const iterator before = *this;
      ++*this;
      return before;
    }
    bool operator==(const iterator& other) const {
      return records_.size() == other.records_.size();
    }

   private:
    friend class header_list;

    void ReadRecord();

    /** The records from the current one on. */
    std::string_view records_;
    std::size_t record_size_ = 0;
    header_view current_;
  };

  /**
   * @param name has no colon, blank or line end, and `kMaxNameBytes` at most.
   * @param value its line ends and NULs are replaced by spaces (RFC 9110, 5.5).
   */
  void Add(std::string_view name, std::string_view value);

  /** Replaces all headers of that name by one. */
  void Set(std::string_view name, std::string_view value);

  void Remove(std::string_view name);

  /** @return the value of the first header of that name; valid until the list changes. */
  std::optional<std::string_view> Find(std::string_view name) const;

  /** @return whether a comma-separated list in that header has `token`, ignoring ASCII case. */
  bool HasToken(std::string_view name, std::string_view token) const;

  /**
   * Removes the hop-by-hop headers: those of RFC 9110, 7.6.1, those that `Connection` names, and
   * those that delimit the body.
   */
  void RemoveHopByHop();

  iterator begin() const { return iterator(records_); }
  iterator end() const { return iterator(); }

  /** @return a copy of all headers. */
  std::vector<header> all() const;

  /** Appends `name: value` lines, without the empty line at the end. */
  void AppendTo(std::string& text) const;

  /** @return memory that the headers occupy, in bytes. */
  std::size_t held_bytes() const { return records_.capacity(); }

 private:
  template <typename P>
  void RemoveIf(P&& is_removed);

  /** For each header the sizes of name and value, the name and the value. */
  std::string records_;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_HEADER_LIST_H_
