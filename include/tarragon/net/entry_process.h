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

/** All threads of one entry. Several may live in one process, for tests. */
class entry_process final {
 public:
  entry_process(settings::entry_settings settings, const clock& time);
  /** Stops as `Stop` does. */
  ~entry_process();

  /**
   * Binds the sockets and starts all threads.
   * @param initial document to start with; may be null.
   * @return false if an address cannot be bound.
   */
  bool Start(const document::document_ptr& initial);

  /** Puts a newer document in force. Older ones are ignored. */
  void ChangeDocument(const document::document_ptr& next);

  /** @return port that callers connect to. */
  int callers_port() const;

  /** @return true if the entry has a document and does not drain. */
  bool IsReady() const;

  /** Refuses new requests and waits until every open one has been answered. */
  void Drain();

  /** Ends all threads; open requests are cut off. Idempotent. */
  void Stop();

  metrics& counters();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_ENTRY_PROCESS_H_
