#include "tarragon/gateway/connection_ending.h"

namespace tarragon::gateway {

bool CompletesResponse(const connection_ending& ending) {
  // A failed write takes the error of a reset, so that the read after it sees an orderly end.
  if (!ending.is_request_written) {
    return false;
  }
  switch (ending.path) {
    case endpoint_path::kDirect:
      return ending.is_orderly;
    case endpoint_path::kChunkedTunnel:
      return ending.is_stated;
    case endpoint_path::kPlainTunnel:
      return false;
  }
  return false;
}

}  // namespace tarragon::gateway
