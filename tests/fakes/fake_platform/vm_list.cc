#include "fakes/fake_platform/vm_list.h"

#include <algorithm>
#include <iterator>

namespace tarragon::fakes {

vm_list::vm_list(duration lag) : lag_(lag) {}

void vm_list::Set(const vm_entry& entry, time_point now) {
  std::lock_guard lock(mutex_);
  pending_.push_back({now, entry.id, entry});
}

void vm_list::Remove(const std::string& id, time_point now) {
  std::lock_guard lock(mutex_);
  pending_.push_back({now, id, std::nullopt});
}

std::vector<vm_entry> vm_list::List(time_point now) {
  std::lock_guard lock(mutex_);
  while (!pending_.empty() && now - pending_.front().made_at >= lag_) {
    const change& due = pending_.front();
    if (due.entry) {
      visible_.insert_or_assign(due.id, *due.entry);
    } else {
      visible_.erase(due.id);
    }
    pending_.pop_front();
  }
  std::vector<vm_entry> entries;
  std::ranges::transform(visible_, std::back_inserter(entries),
                         [](const auto& item) { return item.second; });
  return entries;
}

}  // namespace tarragon::fakes
