#ifndef TARRAGON_GATEWAY_UPLOAD_LIST_H_
#define TARRAGON_GATEWAY_UPLOAD_LIST_H_

#include <unordered_set>

namespace tarragon::gateway {

class caller_connection;
struct gateway_state;

/** Caller connections on which a request has arrived in part. */
class upload_list final {
 public:
  /** @return whether the connection was in the list and has left it. */
  bool Update(caller_connection& connection, bool is_uploading);
  bool empty() const { return connections_.empty(); }
  /** Refuses all these requests, which have not run; called when the process ends. */
  void RefuseAll(gateway_state& gateway) const;

 private:
  std::unordered_set<caller_connection*> connections_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_UPLOAD_LIST_H_
