#ifndef TARRAGON_NET_ADMIN_API_H_
#define TARRAGON_NET_ADMIN_API_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/document/document_replica.h"
#include "tarragon/membership/swim_member.h"
#include "tarragon/store/document_service.h"

namespace tarragon::net {

/** Compares header names without regard to case, as HTTP does. */
struct header_name_less {
  using is_transparent = void;
  bool operator()(std::string_view a, std::string_view b) const;
};

using header_map = std::map<std::string, std::string, header_name_less>;

struct admin_request {
  std::string method;
  /** Decoded path without query, such as `/admin/document/sections/fleet`. */
  std::string path;
  header_map headers;
  std::string body;
};

struct admin_response {
  int status = 200;
  header_map headers;
  std::string content_type;
  std::string body;
};

struct admin_options {
  /** Name under which `/admin/fleet` lists this VM. */
  std::string vm;
  /** Team of each bearer token, by the token's SHA-256 in lower-case hex. */
  std::map<std::string, std::string> teams_by_token_sha256;
};

/**
 * Admin API of the operating document and the fleet. Every call needs a team's bearer token, and
 * only the team that owns a section may write it. Calls block on the platform. Thread-safe.
 */
class admin_api final {
 public:
  using member_source = std::function<std::vector<membership::member_view>()>;

  /** References must outlive this object. @param members returns the members known by gossip. */
  admin_api(admin_options options,
            store::document_service& service,
            document::document_replica& replica,
            member_source members,
            const clock& time);

  admin_response Handle(const admin_request& request);

 private:
  admin_response GetHead();
  admin_response InitializeDocument(const std::string& team, const admin_request& request);
  admin_response GetRollouts();
  admin_response GetSection(const std::string& name);
  admin_response GetHistoryList(const std::string& name);
  admin_response GetSectionVersion(const std::string& name, const std::string& version);
  admin_response PutSection(const std::string& name,
                            const std::string& team,
                            const admin_request& request);
  admin_response UndoEdit(const std::string& name,
                          const std::string& team,
                          const admin_request& request);
  admin_response GetFleet();
  admin_response MakeEditResponse(const std::string& name,
                                  const std::string& edit_id,
                                  store::edit_outcome outcome);
  admin_response RouteSection(const std::vector<std::string>& parts,
                              const std::string& team,
                              const admin_request& request);
  std::string FindTeam(const admin_request& request) const;

  admin_options options_;
  store::document_service& service_;
  document::document_replica& replica_;
  member_source members_;
  const clock& time_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_ADMIN_API_H_
