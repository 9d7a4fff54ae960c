#ifndef TARRAGON_NET_ENTRY_PROCESS_H_
#define TARRAGON_NET_ENTRY_PROCESS_H_

#include <memory>
#include <string>

#include "tarragon/base/clock.h"
#include "tarragon/document/operating_document.h"
#include "tarragon/settings/entry_settings.h"

namespace tarragon {
class metrics;
}

namespace tarragon::net {

/** All threads of one entry. Tests run several instances in one process. */
class entry_process final {
 public:
  entry_process(settings::entry_settings settings, const clock& time);
  /** Calls `Stop`. */
  ~entry_process();

  /**
   * Binds the sockets and starts all threads.
   * @param initial operating document to start with; may be null.
   * @return false if an address cannot be bound.
   */
  bool Start(const document::document_ptr& initial);

  /** Applies `next` if it is newer than the current document. */
  void ChangeDocument(const document::document_ptr& next);

  /** @return the port that callers connect to. */
  int callers_port() const;

  /** @return true if the entry has a document, is not draining, and its VM is not leaving. */
  bool IsReady() const;

  /** Rejects new requests, waits until all open requests have finished, and leaves the peers. */
  void Drain();

  /** Stops all threads and aborts open requests. Idempotent. */
  void Stop();

  metrics& counters();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_ENTRY_PROCESS_H_
