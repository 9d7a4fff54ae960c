#ifndef TARRAGON_FAKES_FAKE_PLATFORM_OBJECT_STORE_H_
#define TARRAGON_FAKES_FAKE_PLATFORM_OBJECT_STORE_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace tarragon::fakes {

/** Objects by key. Thread-safe. */
class object_store final {
 public:
  void Put(const std::string& key, std::string data);
  std::optional<std::string> Get(const std::string& key) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::string> objects_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_PLATFORM_OBJECT_STORE_H_
