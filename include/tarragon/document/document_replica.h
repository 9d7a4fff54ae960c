#ifndef TARRAGON_DOCUMENT_DOCUMENT_REPLICA_H_
#define TARRAGON_DOCUMENT_DOCUMENT_REPLICA_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/document/operating_document.h"

namespace tarragon::document {

enum class offer_outcome : std::uint8_t {
  /** The document was newer and is now in force. */
  kAdopted,
  /** This version is in force already. */
  kSame,
  /** A newer version is in force; nothing changed. */
  kOlder,
  /** The document is newer but has an older or missing section; nothing changed. */
  kInconsistent,
};

/**
 * The operating document that a process currently uses. The versions of the document and of each
 * section never decrease. Thread-safe.
 */
class document_replica final {
 public:
  /** Called with the new document after each change, on the thread that offered it. */
  using listener = std::function<void(const document_ptr&)>;

  /** Adds a listener. Must be called before other threads use the replica. */
  void AddListener(listener callback);

  /** Puts `candidate` in force if it is newer. @param now monotonic time. */
  offer_outcome Offer(time_point now, const document_ptr& candidate);

  /**
   * Records that the platform's head row named `version` at `now`. Ignored unless `version` is in
   * force.
   */
  void Confirm(time_point now, std::uint64_t version);

  /** @return the document in force; null before the first. */
  document_ptr Current() const;
  /** @return version in force; 0 before the first. */
  std::uint64_t Version() const;
  /** @return when the version in force was adopted. */
  std::optional<time_point> InForceSince() const;
  /** @return when the platform last confirmed the version in force; empty if never. */
  std::optional<time_point> ConfirmedAt() const;

 private:
  void Validate() const;

  mutable std::mutex mutex_;
  /** Held while listeners run, so that they see versions in increasing order. */
  std::mutex notify_mutex_;
  std::vector<listener> listeners_;
  document_ptr current_;
  std::optional<time_point> in_force_since_;
  std::optional<time_point> confirmed_at_;
};

}  // namespace tarragon::document

#endif  // TARRAGON_DOCUMENT_DOCUMENT_REPLICA_H_
