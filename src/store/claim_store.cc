#include "tarragon/store/claim_store.h"

#include <fmt/format.h>

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <vector>

namespace tarragon::store {

namespace {

using json = nlohmann::json;

constexpr const char* kClaimPrefix = "claims/";
constexpr const char* kHourPrefix = "claim_hours/";
// Responses are rarely lost; after three consecutive losses the platform is assumed to be down.
constexpr int kMaxAttempts = 3;
// Number of expired hours that are scanned, so that claims are still deleted after an outage of all
// processes of up to two days.
constexpr std::int64_t kExpiryScanHours = 48;

std::string ClaimPath(const claim_key& claim) {
  return claim.account + "/" + claim.key;
}

std::string HourKey(std::int64_t hour, const std::string& path) {
  return fmt::format("{}{}/{}", kHourPrefix, hour, path);
}

bool IsOutcomeUnknown(store_error error) {
  return error == store_error::kUnknownOutcome || error == store_error::kBadAnswer;
}

/** JSON strings must be UTF-8, so any other body is stored as an array of bytes. */
json EncodeBody(const std::string& body) {
  json text = body;
  // The `replace` handler changes the text if and only if it is not valid UTF-8.
  const std::string dumped = text.dump(-1, ' ', false, json::error_handler_t::replace);
  if (json::parse(dumped).get<std::string>() == body) {
    return text;
  }
  return std::vector<std::uint8_t>(body.begin(), body.end());
}

std::string DecodeBody(const json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  std::string body;
  if (value.is_array()) {
    for (const json& byte : value) {
      body.push_back(static_cast<char>(byte.is_number_unsigned() ? byte.get<unsigned>() : 0));
    }
  }
  return body;
}

}  // namespace

/** Contents of a claim row and its version in the table. */
struct claim_store::claim_row {
  std::string token;
  std::uint64_t content = 0;
  /** Wall-clock hours since the epoch when the claim was written. */
  std::int64_t hour = 0;
  bool completed = false;
  int status = 0;
  std::string body;
  std::uint64_t row_version = 0;

  std::string Encode() const {
    return json{{"token", token},         {"content", content}, {"hour", hour},
                {"completed", completed}, {"status", status},   {"body", EncodeBody(body)}}
        .dump();
  }

  static std::optional<claim_row> Decode(const row& source) {
    const json value = json::parse(source.value, nullptr, false);
    if (!value.is_object() || !value.contains("token") || !value["token"].is_string() ||
        !value.contains("completed") || !value["completed"].is_boolean()) {
      return std::nullopt;
    }
    return claim_row{.token = value["token"].get<std::string>(),
                     .content = value.value("content", std::uint64_t{0}),
                     .hour = value.value("hour", std::int64_t{0}),
                     .completed = value["completed"].get<bool>(),
                     .status = value.value("status", 0),
                     .body = DecodeBody(value.value("body", json())),
                     .row_version = source.version};
  }
};

claim_result claim_store::Write(const claim_key& claim, fingerprint content) {
  const std::string path = ClaimPath(claim);
  const claim_row new_claim{.token = claim.token,
                            .content = content.value,
                            .hour = CurrentHour(),
                            .completed = false,
                            .status = 0,
                            .body = {},
                            .row_version = 0};
  const transaction writes{.conditions = {{kClaimPrefix + path, 0}},
                           .writes = {{kClaimPrefix + path, new_claim.Encode()},
                                      {HourKey(new_claim.hour, path), std::string()}}};
  bool may_be_written = false;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto committed = store_.Commit(writes);
    if (committed.has_value()) {
      return {.outcome = claim_outcome::kWon, .recorded_status = 0, .recorded_body = {}};
    }
    if (!IsOutcomeUnknown(committed.error()) && committed.error() != store_error::kConflict) {
      break;
    }
    may_be_written = may_be_written || IsOutcomeUnknown(committed.error());
    std::optional<claim_result> read_back = ReadBackClaim(claim, content);
    if (read_back) {
      return *std::move(read_back);
    }
    // The row is absent or unreadable, and the lost write may still be applied. Sending the same
    // write again is safe: the row carries the same token whichever of the two is applied.
  }
  return {.outcome = may_be_written ? claim_outcome::kUnknown : claim_outcome::kUnavailable,
          .recorded_status = 0,
          .recorded_body = {}};
}

claim_outcome claim_store::Complete(const claim_key& claim, int status, const std::string& body) {
  return ReplaceOrDelete(claim, claim_row{.token = claim.token,
                                          .content = 0,
                                          .hour = 0,
                                          .completed = true,
                                          .status = status,
                                          .body = body,
                                          .row_version = 0});
}

claim_outcome claim_store::Release(const claim_key& claim) {
  return ReplaceOrDelete(claim, std::nullopt);
}

store_result<int> claim_store::ExpireOld() {
  const std::int64_t newest_expired = CurrentHour() - kRetention.count() - 1;
  int deleted = 0;
  for (std::int64_t hour = newest_expired; hour > newest_expired - kExpiryScanHours; --hour) {
    BOOST_OUTCOME_TRY(count, ExpireHour(hour));
    deleted += count;
  }
  return deleted;
}

store_result<int> claim_store::ExpireHour(std::int64_t hour) {
  const std::string prefix = HourKey(hour, {});
  BOOST_OUTCOME_TRY(listed, store_.Scan(prefix));
  int deleted = 0;
  for (const row& entry : listed) {
    const std::string claim_path = kClaimPrefix + entry.key.substr(prefix.size());
    transaction deletes{.conditions = {{entry.key, entry.version}},
                        .writes = {{entry.key, std::nullopt}}};
    const auto found = store_.Read(claim_path);
    if (found.has_error() && found.error() != store_error::kNotFound) {
      return found.error();
    }
    // The key may have been released and claimed again in a later hour, so the hours are compared.
    const auto claim = found.has_value() ? claim_row::Decode(found.value()) : std::nullopt;
    if (claim && claim->hour == hour) {
      deletes.conditions.push_back({claim_path, claim->row_version});
      deletes.writes.push_back({claim_path, std::nullopt});
    }
    const auto committed = store_.Commit(deletes);
    if (committed.has_value()) {
      deleted += static_cast<int>(deletes.writes.size()) - 1;
    } else if (committed.error() != store_error::kConflict) {
      return committed.error();
    }
  }
  return deleted;
}

store_result<claim_store::claim_row> claim_store::ReadClaim(const claim_key& claim) {
  BOOST_OUTCOME_TRY(found, store_.Read(kClaimPrefix + ClaimPath(claim)));
  std::optional<claim_row> decoded = claim_row::Decode(found);
  if (!decoded) {
    return store_error::kBadAnswer;
  }
  return *std::move(decoded);
}

/** @return the outcome according to the stored row; empty if it is absent or unreadable. */
std::optional<claim_result> claim_store::ReadBackClaim(const claim_key& claim,
                                                       fingerprint content) {
  const auto found = ReadClaim(claim);
  if (found.has_error()) {
    return std::nullopt;
  }
  const claim_row& current = found.value();
  claim_result result;
  if (current.token == claim.token) {
    result.outcome = claim_outcome::kWon;
  } else if (current.completed && current.content == content.value) {
    result = {.outcome = claim_outcome::kCompleted,
              .recorded_status = current.status,
              .recorded_body = current.body};
  } else {
    result.outcome = claim_outcome::kHeldByOther;
  }
  return result;
}

claim_outcome claim_store::ReplaceOrDelete(const claim_key& claim,
                                           const std::optional<claim_row>& replacement) {
  const std::string key = kClaimPrefix + ClaimPath(claim);
  bool may_be_applied = false;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto current = ReadClaim(claim);
    if (current.has_error()) {
      if (current.error() == store_error::kNotFound) {
        // A released claim is absent; a claim to complete is absent only if it has expired.
        return replacement ? claim_outcome::kHeldByOther : claim_outcome::kWon;
      }
      break;
    }
    if (current.value().token != claim.token) {
      return claim_outcome::kHeldByOther;
    }
    if (current.value().completed) {
      return replacement ? claim_outcome::kWon : claim_outcome::kHeldByOther;
    }
    transaction writes{.conditions = {{key, current.value().row_version}}, .writes = {}};
    if (replacement) {
      claim_row completed = *replacement;
      completed.content = current.value().content;
      completed.hour = current.value().hour;
      writes.writes.push_back({key, completed.Encode()});
    } else {
      writes.writes.push_back({key, std::nullopt});
      writes.writes.push_back({HourKey(current.value().hour, ClaimPath(claim)), std::nullopt});
    }
    const auto committed = store_.Commit(writes);
    if (committed.has_value()) {
      return claim_outcome::kWon;
    }
    if (!IsOutcomeUnknown(committed.error()) && committed.error() != store_error::kConflict) {
      break;
    }
    may_be_applied = may_be_applied || IsOutcomeUnknown(committed.error());
  }
  return may_be_applied ? claim_outcome::kUnknown : claim_outcome::kUnavailable;
}

std::int64_t claim_store::CurrentHour() const {
  return std::chrono::duration_cast<std::chrono::hours>(time_.WallNow().time_since_epoch()).count();
}

}  // namespace tarragon::store
