#ifndef TARRAGON_NET_RESUMPTION_TICKET_H_
#define TARRAGON_NET_RESUMPTION_TICKET_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"

namespace tarragon::net {

/**
 * Right of one account to attach to one generation, at any entry. The text form is authenticated
 * with HMAC-SHA256 under the fleet key, so that no entry keeps state for it.
 */
class resumption_ticket final {
 public:
  struct fields {
    request_id request;
    std::string account;
    endpoint_name endpoint;
    generation_id generation;
    std::string request_class;
    /** Hash of the request; the caller must send the same request again. */
    fingerprint content;
    wall_time_point issued;

    bool operator==(const fields&) const = default;
  };

  explicit resumption_ticket(fields contents) : contents_(std::move(contents)) {}

  /**
   * Reads a ticket presented by a caller.
   * @param key fleet key.
   * @param now wall-clock time of this VM.
   * @param max_age age above which a ticket is refused.
   * @return empty if the text is malformed, not signed with `key`, too old, or issued further in
   *     the future than clocks of two VMs may differ.
   */
  static std::optional<resumption_ticket> Make(std::string_view text,
                                               std::string_view key,
                                               wall_time_point now,
                                               std::chrono::milliseconds max_age);

  /** @return the value of the `Resumption-Ticket` header. */
  std::string Sign(std::string_view key) const;

  const fields& contents() const { return contents_; }

 private:
  fields contents_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_RESUMPTION_TICKET_H_
