#ifndef TARRAGON_NET_DOCUMENT_HOLDER_H_
#define TARRAGON_NET_DOCUMENT_HOLDER_H_

#include <mutex>
#include <utility>

#include "tarragon/document/operating_document.h"

namespace tarragon::net {

/** The document in force, shared between the threads of a process. Never goes back. */
class document_holder final {
 public:
  /** @return the document in force, or null before the first. */
  document::document_ptr Get() const {
    std::lock_guard lock(mutex_);
    return current_;
  }

  /** @return true if `next` is newer than the one in force and replaced it. */
  bool Advance(document::document_ptr next) {
    std::lock_guard lock(mutex_);
    if (!next || (current_ && next->version() <= current_->version())) {
      return false;
    }
    current_ = std::move(next);
    return true;
  }

 private:
  mutable std::mutex mutex_;
  document::document_ptr current_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_DOCUMENT_HOLDER_H_
