#ifndef TARRAGON_NET_DOCUMENT_SERVER_H_
#define TARRAGON_NET_DOCUMENT_SERVER_H_

#include <memory>
#include <string>

#include "tarragon/document/document_replica.h"
#include "tarragon/wire/member_record.h"

namespace tarragon::net {

class io_thread;

/** Serves the document in force to peers over TCP. */
class document_server final {
 public:
  /**
   * @param io, replica must outlive the server.
   * @param key fleet key that authenticates both sides.
   * @return empty if the address cannot be bound.
   */
  static std::unique_ptr<document_server> Make(io_thread& io,
                                               const wire::peer_address& address,
                                               std::string key,
                                               const document::document_replica& replica);
  ~document_server();

 private:
  struct state;
  explicit document_server(std::shared_ptr<state> shared_state);

  std::shared_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_DOCUMENT_SERVER_H_
