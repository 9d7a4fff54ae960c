#ifndef TARRAGON_STORE_HTTP_PLATFORM_STORE_H_
#define TARRAGON_STORE_HTTP_PLATFORM_STORE_H_

#include <chrono>
#include <memory>
#include <string>

#include "tarragon/store/platform_store.h"

namespace tarragon::store {

struct http_store_options {
  std::string host;
  int port = 0;
  std::chrono::milliseconds connect_timeout{500};
  /** Inactivity timeout while a request is written or a response is read. */
  std::chrono::milliseconds io_timeout{2000};
};

/**
 * Platform client over HTTP. Each call opens a connection: the outcome of a write on a keep-alive
 * connection that the platform has closed would be unknown.
 */
class http_platform_store final : public platform_store {
 public:
  /** @return null if the host is empty or the port is not in [1, 65535]. */
  static std::unique_ptr<http_platform_store> Make(http_store_options options);

  store_result<row> Read(const std::string& key) override;
  store_result<std::vector<row>> Scan(const std::string& prefix) override;
  store_result<std::vector<std::uint64_t>> Commit(const transaction& writes) override;
  store_result<std::string> GetObject(const std::string& key) override;
  store_result<std::string> PutObject(const std::string& key, const std::string& data) override;
  store_result<std::vector<listed_vm>> ListVms() override;

 private:
  explicit http_platform_store(http_store_options options);

  store_result<std::string> Get(const std::string& path);

  http_store_options options_;
};

}  // namespace tarragon::store

#endif  // TARRAGON_STORE_HTTP_PLATFORM_STORE_H_
