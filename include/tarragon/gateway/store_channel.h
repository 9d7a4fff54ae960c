#ifndef TARRAGON_GATEWAY_STORE_CHANNEL_H_
#define TARRAGON_GATEWAY_STORE_CHANNEL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "tarragon/gateway/platform_adapter.h"
#include "tarragon/store/platform_store.h"

namespace tarragon::gateway {

struct store_response {
  int status = 0;
  std::string body;
  /** Era of the store, see `platform_adapter::ReadStoreEra`. */
  std::uint64_t era = 0;
};

using store_call_result = store::store_result<store_response>;

/** Makes calls to the platform's store, one at a time. */
class store_channel {
 public:
  using callback = std::function<void(store_call_result)>;

  virtual ~store_channel() = default;

  /**
   * @param timeout time after which the call fails.
   * @param done receives the response, `kUnavailable` if the call was not sent, or
   *     `kUnknownOutcome` if the store may have executed it. Not invoked from within `Call`.
   */
  virtual void Call(service_call call, std::chrono::milliseconds timeout, callback done) = 0;

  /** Abandons the pending call, if any; its callback is not invoked. */
  virtual void Cancel() = 0;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_STORE_CHANNEL_H_
