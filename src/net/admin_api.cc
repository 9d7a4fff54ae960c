#include "tarragon/net/admin_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "tarragon/base/hash.h"

namespace tarragon::net {

namespace {

using json = nlohmann::json;
using store::edit_outcome;
using store::edit_status;
using store::section_edit;
using store::store_error;

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr const char* kSectionsPath = "/admin/document/sections/";
constexpr const char* kJsonType = "application/json";
constexpr const char* kTomlType = "application/toml";
// Limits one response, since each past version costs one read of the object store.
constexpr std::uint64_t kMaxHistoryEntries = 20;
// Edit ids become part of table keys.
constexpr std::size_t kMaxEditIdLength = 64;

admin_response MakeJsonResponse(int status, const json& body) {
  return {.status = status,
          .headers = {},
          .content_type = kJsonType,
          .body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

admin_response MakeErrorResponse(int status,
                                 std::string_view code,
                                 std::string_view message,
                                 json details = json::object()) {
  details["type"] = "admin_error";
  details["code"] = code;
  details["message"] = message;
  return MakeJsonResponse(status, {{"error", std::move(details)}});
}

admin_response MakeNotFoundResponse() {
  return MakeErrorResponse(404, "not_found", "there is no such resource");
}

admin_response MakeStoreErrorResponse(store_error error) {
  if (error == store_error::kNotFound) {
    return MakeNotFoundResponse();
  }
  admin_response response = MakeErrorResponse(
      503, "platform_unavailable",
      fmt::format("reading from the platform failed: {}", store::ToString(error)));
  response.headers["Retry-After"] = "1";
  return response;
}

std::string FormatETag(std::uint64_t version) {
  return fmt::format("\"{}\"", version);
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed_end != end || text.empty()) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::uint64_t> ParseETag(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  return ParseNumber(text);
}

std::string GetHeaderValue(const admin_request& request, std::string_view name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string() : found->second;
}

bool IsValidEditId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxEditIdLength &&
         std::ranges::all_of(text, [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

std::vector<std::string> Split(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('/'), path.size());
    parts.emplace_back(path.substr(0, end));
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  return parts;
}

json ToJson(const document::section& section) {
  return {{"section", section.name},
          {"version", section.version},
          {"edit_id", section.edit_id},
          {"author", section.author}};
}

std::int64_t ToMilliseconds(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/** Adds the VMs that the document lists as serving but that are missing from `vms`. */
void AddUnseenVms(const document::document_ptr& document, json& vms) {
  if (document == nullptr) {
    return;
  }
  for (const document::vm_settings& listed : document->contents().vms) {
    const bool seen = std::ranges::any_of(
        vms, [&listed](const json& vm) { return vm.value("vm", "") == listed.name; });
    if (!seen && listed.state == document::serving_state::kServing) {
      vms.push_back({{"vm", listed.name}, {"state", "unseen"}, {"document_version", 0}});
    }
  }
}

/** The edit described by the headers of a request, or the error response if they are invalid. */
struct parsed_edit {
  section_edit edit;
  std::optional<admin_response> error_response;
};

parsed_edit ParseEdit(const std::string& name,
                      const std::string& team,
                      const admin_request& request) {
  parsed_edit parsed;
  const std::optional<std::uint64_t> base = ParseETag(GetHeaderValue(request, "If-Match"));
  const std::string edit_id = GetHeaderValue(request, "Edit-Id");
  if (!base) {
    parsed.error_response = MakeErrorResponse(
        428, "precondition_required",
        "header If-Match must hold the section's version, or 0 if it does not exist");
    return parsed;
  }
  // Without an id chosen by the caller, a retry could not be distinguished from a new edit.
  if (!IsValidEditId(edit_id)) {
    parsed.error_response =
        MakeErrorResponse(400, "bad_edit_id",
                          "header Edit-Id must hold 1 to 64 letters, digits, '-', '_' or '.', "
                          "unique per edit");
    return parsed;
  }
  const std::string author = GetHeaderValue(request, "Author");
  parsed.edit = {.section = name,
                 .base_version = *base,
                 .edit_id = edit_id,
                 .team = team,
                 .author = author.empty() ? team : author,
                 .text = request.body};
  return parsed;
}

}  // namespace

bool header_name_less::operator()(std::string_view a, std::string_view b) const {
  return std::ranges::lexicographical_compare(
      a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) < std::tolower(y); });
}

admin_api::admin_api(admin_options options,
                     store::document_service& service,
                     document::document_replica& replica,
                     member_source members,
                     const clock& time)
    : options_(std::move(options)),
      service_(service),
      replica_(replica),
      members_(std::move(members)),
      time_(time) {}

admin_response admin_api::Handle(const admin_request& request) {
  const std::string team = FindTeam(request);
  if (team.empty()) {
    admin_response response =
        MakeErrorResponse(401, "unauthorized", "a team's bearer token is required");
    response.headers["WWW-Authenticate"] = "Bearer";
    return response;
  }
  const bool is_get = request.method == "GET";
  if (request.path == "/admin/document") {
    if (request.method == "PUT") {
      return InitializeDocument(team, request);
    }
    return is_get ? GetHead()
                  : MakeErrorResponse(405, "method_not_allowed", "only GET and PUT are allowed");
  }
  if (request.path == "/admin/rollout") {
    return is_get ? GetRollouts()
                  : MakeErrorResponse(405, "method_not_allowed", "only GET is allowed");
  }
  if (request.path == "/admin/fleet") {
    return is_get ? GetFleet()
                  : MakeErrorResponse(405, "method_not_allowed", "only GET is allowed");
  }
  if (request.path.starts_with(kSectionsPath)) {
    return RouteSection(
        Split(std::string_view(request.path).substr(std::string_view(kSectionsPath).size())), team,
        request);
  }
  return MakeNotFoundResponse();
}

admin_response admin_api::RouteSection(const std::vector<std::string>& parts,
                                       const std::string& team,
                                       const admin_request& request) {
  const auto& names = document::SectionNames();
  if (parts.empty() || std::ranges::find(names, parts[0]) == names.end()) {
    return MakeNotFoundResponse();
  }
  const std::string& name = parts[0];
  const std::string& method = request.method;
  if (parts.size() == 1 && method == "GET") {
    return GetSection(name);
  }
  if (parts.size() == 1 && method == "PUT") {
    return PutSection(name, team, request);
  }
  if (parts.size() == 2 && parts[1] == "history" && method == "GET") {
    return GetHistoryList(name);
  }
  if (parts.size() == 3 && parts[1] == "history" && method == "GET") {
    return GetSectionVersion(name, parts[2]);
  }
  if (parts.size() == 2 && parts[1] == "undo" && method == "POST") {
    return UndoEdit(name, team, request);
  }
  return MakeNotFoundResponse();
}

admin_response admin_api::GetHead() {
  const auto head = service_.ReadHead();
  if (head.has_error()) {
    return MakeStoreErrorResponse(head.error());
  }
  admin_response response = MakeJsonResponse(200, {{"version", head.value().version},
                                                   {"sections", head.value().section_versions},
                                                   {"version_in_force_here", replica_.Version()}});
  response.headers["ETag"] = FormatETag(head.value().version);
  return response;
}

admin_response admin_api::InitializeDocument(const std::string& team,
                                             const admin_request& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("sections") || !body["sections"].is_object()) {
    return MakeErrorResponse(400, "bad_body", "expected {\"sections\": {<name>: <text>}}");
  }
  std::vector<document::section> sections;
  for (const auto& [name, text] : body["sections"].items()) {
    if (!text.is_string()) {
      return MakeErrorResponse(400, "bad_body", fmt::format("section {} must be a string", name));
    }
    document::section new_section;
    new_section.name = name;
    new_section.edit_id = GetHeaderValue(request, "Edit-Id");
    const std::string author = GetHeaderValue(request, "Author");
    new_section.author = author.empty() ? team : author;
    new_section.text = text.get<std::string>();
    sections.push_back(std::move(new_section));
  }
  return MakeEditResponse("all", GetHeaderValue(request, "Edit-Id"),
                          service_.Initialize(std::move(sections)));
}

admin_response admin_api::GetRollouts() {
  const auto rows = service_.ReadRollouts();
  if (rows.has_error()) {
    return MakeStoreErrorResponse(rows.error());
  }
  json rollouts = json::array();
  for (const store::row& row : rows.value()) {
    rollouts.push_back(json::parse(row.value, nullptr, false));
  }
  return MakeJsonResponse(200, {{"rollouts", std::move(rollouts)}});
}

admin_response admin_api::GetSection(const std::string& name) {
  const auto found = service_.ReadSection(name);
  if (found.has_error()) {
    return MakeStoreErrorResponse(found.error());
  }
  return {.status = 200,
          .headers = {{"ETag", FormatETag(found.value().version)},
                      {"Edit-Id", found.value().edit_id},
                      {"Author", found.value().author}},
          .content_type = kTomlType,
          .body = found.value().text};
}

admin_response admin_api::GetHistoryList(const std::string& name) {
  const auto current = service_.ReadSection(name);
  if (current.has_error()) {
    return MakeStoreErrorResponse(current.error());
  }
  json entries = json::array({ToJson(current.value())});
  const std::uint64_t newest = current.value().version;
  for (std::uint64_t version = newest; --version > 0 && newest - version < kMaxHistoryEntries;) {
    const auto past = service_.ReadSectionVersion(name, version);
    if (past.has_error()) {
      return MakeStoreErrorResponse(past.error());
    }
    entries.push_back(ToJson(past.value()));
  }
  return MakeJsonResponse(200, {{"section", name}, {"versions", std::move(entries)}});
}

admin_response admin_api::GetSectionVersion(const std::string& name, const std::string& version) {
  const std::optional<std::uint64_t> number = ParseNumber(version);
  if (!number) {
    return MakeNotFoundResponse();
  }
  const auto past = service_.ReadSectionVersion(name, *number);
  if (past.has_error()) {
    return MakeStoreErrorResponse(past.error());
  }
  return {.status = 200,
          .headers = {{"ETag", FormatETag(past.value().version)},
                      {"Edit-Id", past.value().edit_id},
                      {"Author", past.value().author}},
          .content_type = kTomlType,
          .body = past.value().text};
}

admin_response admin_api::PutSection(const std::string& name,
                                     const std::string& team,
                                     const admin_request& request) {
  parsed_edit parsed = ParseEdit(name, team, request);
  if (parsed.error_response) {
    return *std::move(parsed.error_response);
  }
  return MakeEditResponse(name, parsed.edit.edit_id, service_.Edit(parsed.edit));
}

admin_response admin_api::UndoEdit(const std::string& name,
                                   const std::string& team,
                                   const admin_request& request) {
  parsed_edit parsed = ParseEdit(name, team, request);
  if (parsed.error_response) {
    return *std::move(parsed.error_response);
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("version") || !body["version"].is_number_unsigned()) {
    return MakeErrorResponse(400, "bad_body", "expected {\"version\": <version to restore>}");
  }
  return MakeEditResponse(name, parsed.edit.edit_id,
                          service_.Undo(parsed.edit, body["version"].get<std::uint64_t>()));
}

admin_response admin_api::MakeEditResponse(const std::string& name,
                                           const std::string& edit_id,
                                           edit_outcome outcome) {
  switch (outcome.status) {
    case edit_status::kAccepted: {
      // Puts the edit in force here at once; the replica's listener announces it to the peers.
      if (outcome.document != nullptr) {
        replica_.Offer(time_.Now(), outcome.document);
      }
      admin_response response =
          MakeJsonResponse(200, {{"section", name},
                                 {"version", outcome.section_version},
                                 {"document_version", outcome.document_version},
                                 {"edit_id", edit_id}});
      response.headers["ETag"] = FormatETag(outcome.section_version);
      return response;
    }
    case edit_status::kConflict: {
      admin_response response = MakeErrorResponse(
          412, "section_changed", "the section has changed since the given version",
          {{"version", outcome.section_version}, {"difference", outcome.difference}});
      response.headers["ETag"] = FormatETag(outcome.section_version);
      return response;
    }
    case edit_status::kInvalid: {
      json errors = json::array();
      for (const document::document_error& error : outcome.errors) {
        errors.push_back(
            {{"section", error.section}, {"line", error.line}, {"message", error.message}});
      }
      return MakeErrorResponse(422, "invalid_document", "the document would be invalid",
                               {{"errors", std::move(errors)}});
    }
    case edit_status::kForbidden:
      return MakeErrorResponse(403, "not_owner", "the token's team does not own the section");
    case edit_status::kUnknownSection:
    case edit_status::kNoSuchVersion:
      return MakeNotFoundResponse();
    case edit_status::kEditIdReused:
      return MakeErrorResponse(409, "edit_id_reused", "the edit id belongs to another edit");
    case edit_status::kUnavailable:
    case edit_status::kUnknown:
      break;
  }
  const bool unknown = outcome.status == edit_status::kUnknown;
  admin_response response = MakeErrorResponse(
      503, unknown ? "outcome_unknown" : "platform_unavailable",
      unknown ? "the edit may have been applied; repeat the call with the same Edit-Id"
              : "the platform is unavailable; nothing was written");
  response.headers["Retry-After"] = "1";
  return response;
}

admin_response admin_api::GetFleet() {
  const time_point now = time_.Now();
  const auto since = replica_.InForceSince();
  const auto confirmed = replica_.ConfirmedAt();
  json vms = json::array();
  vms.push_back(
      {{"vm", options_.vm},
       {"state", "alive"},
       {"document_version", replica_.Version()},
       {"in_force_for_ms", since ? json(ToMilliseconds(now - *since)) : json(nullptr)},
       {"confirmed_ms_ago", confirmed ? json(ToMilliseconds(now - *confirmed)) : json(nullptr)}});
  for (const membership::member_view& member : members_()) {
    const bool has_version = member.document_version > 0;
    vms.push_back(
        {{"vm", member.name},
         {"state", wire::ToString(member.state)},
         {"incarnation", member.incarnation},
         {"document_version", member.document_version},
         {"in_force_for_ms",
          has_version ? json(ToMilliseconds(now - member.version_since)) : json(nullptr)}});
  }
  AddUnseenVms(replica_.Current(), vms);
  return MakeJsonResponse(200, {{"vms", std::move(vms)}});
}

std::string admin_api::FindTeam(const admin_request& request) const {
  const std::string header = GetHeaderValue(request, "Authorization");
  if (!header.starts_with(kBearerPrefix)) {
    return {};
  }
  // Looking up the digest reveals nothing about the token through timing.
  const auto found =
      options_.teams_by_token_sha256.find(Sha256Hex(header.substr(kBearerPrefix.size())));
  return found == options_.teams_by_token_sha256.end() ? std::string() : found->second;
}

}  // namespace tarragon::net
