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
 * Grants one account the right to resume one generation at any entry. The text form carries an
 * HMAC-SHA256 under the fleet key, so entries store no state for it.
 */
class resumption_ticket final {
 public:
  struct fields {
    request_id request;
    std::string account;
    endpoint_name endpoint;
    generation_id generation;
    std::string request_class;
    /** Hash of the request, which must match the request that presents the ticket. */
    fingerprint request_fingerprint;
    wall_time_point issued;

    bool operator==(const fields&) const = default;
  };

  explicit resumption_ticket(fields contents) : contents_(std::move(contents)) {}

  /**
   * Parses and verifies a ticket presented by a caller.
   * @param key fleet key that signed the ticket.
   * @param now wall-clock time of this VM.
   * @param max_age age above which a ticket is rejected.
   * @return empty if the text is malformed, not signed with `key`, too old, or issued further in
   *     the future than the allowed clock skew between two VMs.
   */
  static std::optional<resumption_ticket> ParseAndVerify(std::string_view text,
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
