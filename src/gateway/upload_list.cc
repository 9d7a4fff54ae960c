#include "tarragon/gateway/upload_list.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <vector>

#include "tarragon/gateway/caller_connection.h"
#include "tarragon/gateway/gateway_state.h"

namespace tarragon::gateway {

bool upload_list::Update(caller_connection& connection, bool is_uploading) {
  if (is_uploading) {
    connections_.insert(&connection);
    return false;
  }
  return connections_.erase(&connection) > 0;
}

void upload_list::RefuseAll(gateway_state& gateway) const {
  // A refused connection leaves the list.
  std::vector<std::shared_ptr<caller_connection>> uploading;
  std::ranges::transform(
      connections_, std::back_inserter(uploading),
      [](caller_connection* connection) { return connection->shared_from_this(); });
  std::ranges::for_each(uploading, [&gateway](const auto& connection) {
    gateway.RunGuarded("upload", [&] { connection->RefuseUpload(); });
  });
}

}  // namespace tarragon::gateway
