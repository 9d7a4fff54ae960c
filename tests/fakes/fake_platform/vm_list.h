#ifndef TARRAGON_FAKES_FAKE_PLATFORM_VM_LIST_H_
#define TARRAGON_FAKES_FAKE_PLATFORM_VM_LIST_H_

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"

namespace tarragon::fakes {

struct vm_entry {
  std::string id;
  std::string address;
  std::string failure_domain;
  /** `live` or `leaving`. */
  std::string state = "live";
};

/** List of VMs in which each change appears only after a lag. Thread-safe. */
class vm_list final {
 public:
  explicit vm_list(duration lag);

  void Set(const vm_entry& entry, time_point now);
  void Remove(const std::string& id, time_point now);

  /** @return the list as of one lag before `now`, in order of the id. */
  std::vector<vm_entry> List(time_point now);

 private:
  struct change {
    time_point made_at;
    std::string id;
    // Empty for a removal.
    std::optional<vm_entry> entry;
  };

  const duration lag_;
  std::mutex mutex_;
  std::deque<change> pending_;
  std::map<std::string, vm_entry> visible_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_PLATFORM_VM_LIST_H_
