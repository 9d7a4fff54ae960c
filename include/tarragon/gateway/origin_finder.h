#ifndef TARRAGON_GATEWAY_ORIGIN_FINDER_H_
#define TARRAGON_GATEWAY_ORIGIN_FINDER_H_

#include <functional>
#include <optional>
#include <string>

#include "tarragon/routing/stream_origins.h"

namespace tarragon::gateway {

/** Finds the software version that began a stream, whichever daemon sent it there. */
class origin_finder {
 public:
  /** Receives the decision; empty if the store cannot be asked now. */
  using callback = std::function<void(std::optional<routing::take_up_decision>)>;

  virtual ~origin_finder() = default;

  /**
   * @param service of the stream's route, for streams that nobody has recorded.
   * @param done not invoked from within `Find`.
   */
  virtual void Find(routing::stream_key key, std::string service, callback done) = 0;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_ORIGIN_FINDER_H_
