#include "tarragon/store/document_service.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"
#include "tarragon/document/line_diff.h"

namespace tarragon::store {

namespace {

using document::document_ptr;
using document::operating_document;
using document::section;
using json = nlohmann::json;

constexpr const char* kHeadKey = "document/head";
constexpr const char* kSectionPrefix = "document/sections/";
constexpr const char* kEditPrefix = "document/edits/";
// Maximum number of inconsistent reads of head and sections before a load fails. At the expected
// 3,200 edits a day, one edit every 27 s, two inconsistent reads in a row are already rare.
constexpr int kMaxLoadAttempts = 16;
// Edit ids are retained for this many document versions (3 days at 3,200 edits a day), far longer
// than any caller retries an edit.
constexpr std::uint64_t kEditRetentionVersions = 10000;
// The edit that creates every 1,000th version deletes expired ids, so at most 11,000 rows exist.
constexpr std::uint64_t kPruneIntervalVersions = 1000;
constexpr std::size_t kMaxDeletesPerCommit = 100;

std::string SectionKey(const std::string& name) {
  return kSectionPrefix + name;
}

std::string HistoryKey(const std::string& name, std::uint64_t version) {
  return "history/" + name + "/" + std::to_string(version);
}

bool IsSectionName(const std::string& name) {
  return std::ranges::find(document::SectionNames(), name) != document::SectionNames().end();
}

std::string Encode(const document_head& head) {
  return json{{"version", head.version}, {"sections", head.section_versions}}.dump();
}

std::optional<document_head> DecodeHead(const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object() || !value.contains("version") || !value["version"].is_number_unsigned() ||
      !value.contains("sections") || !value["sections"].is_object()) {
    return std::nullopt;
  }
  document_head head{.version = value["version"].get<std::uint64_t>(), .section_versions = {}};
  for (const auto& [name, version] : value["sections"].items()) {
    if (!version.is_number_unsigned()) {
      return std::nullopt;
    }
    head.section_versions[name] = version.get<std::uint64_t>();
  }
  return head;
}

std::string Encode(const section& entry) {
  return json{{"version", entry.version},
              {"edit_id", entry.edit_id},
              {"author", entry.author},
              {"text", entry.text}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<section> DecodeSection(std::string name, const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  const auto is_string = [&value](const char* key) {
    return value.contains(key) && value[key].is_string();
  };
  if (!value.is_object() || !value.contains("version") || !value["version"].is_number_unsigned() ||
      !is_string("edit_id") || !is_string("author") || !is_string("text")) {
    return std::nullopt;
  }
  return section{.name = std::move(name),
                 .version = value["version"].get<std::uint64_t>(),
                 .edit_id = value["edit_id"].get<std::string>(),
                 .author = value["author"].get<std::string>(),
                 .text = value["text"].get<std::string>()};
}

/** Row `document/edits/<id>`: the edit with this id and the versions that it created. */
struct edit_record {
  std::string section;
  std::string text_sha256;
  std::uint64_t section_version = 0;
  std::uint64_t document_version = 0;
};

std::string Encode(const edit_record& record) {
  return json{{"section", record.section},
              {"text_sha256", record.text_sha256},
              {"section_version", record.section_version},
              {"document_version", record.document_version}}
      .dump();
}

std::optional<edit_record> DecodeEditRecord(const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  return edit_record{.section = value.value("section", ""),
                     .text_sha256 = value.value("text_sha256", ""),
                     .section_version = value.value("section_version", std::uint64_t{0}),
                     .document_version = value.value("document_version", std::uint64_t{0})};
}

bool IsRecordOf(const edit_record& record, const section_edit& edit) {
  return record.section == edit.section && record.section_version == edit.base_version + 1 &&
         record.text_sha256 == Sha256Hex(edit.text);
}

/** @return whether the write may have been applied although the call failed. */
bool IsOutcomeUnknown(store_error error) {
  return error == store_error::kUnknownOutcome || error == store_error::kBadAnswer;
}

edit_outcome MakeOutcome(edit_status status) {
  edit_outcome outcome;
  outcome.status = status;
  return outcome;
}

}  // namespace

std::string_view ToString(edit_status status) {
  switch (status) {
    case edit_status::kAccepted:
      return "accepted";
    case edit_status::kConflict:
      return "conflict";
    case edit_status::kInvalid:
      return "invalid";
    case edit_status::kForbidden:
      return "forbidden";
    case edit_status::kUnknownSection:
      return "unknown-section";
    case edit_status::kNoSuchVersion:
      return "no-such-version";
    case edit_status::kEditIdReused:
      return "edit-id-reused";
    case edit_status::kUnavailable:
      return "unavailable";
    case edit_status::kUnknown:
      return "unknown";
  }
  return "unknown";
}

/** All rows of one document version. */
struct document_service::loaded_rows {
  document_head head;
  std::uint64_t head_row_version = 0;
  std::vector<section> sections;
  std::map<std::string, std::uint64_t> section_row_versions;

  const section* Find(const std::string& name) const {
    const auto found = std::ranges::find(sections, name, &section::name);
    return found == sections.end() ? nullptr : &*found;
  }
};

document_service::document_service(platform_store& store,
                                   document_service_options options,
                                   sleep_function sleep)
    : store_(store), options_(std::move(options)), sleep_(std::move(sleep)) {
  if (!sleep_) {
    sleep_ = [](std::chrono::milliseconds delay) { std::this_thread::sleep_for(delay); };
  }
}

store_result<document_head> document_service::ReadHead() {
  BOOST_OUTCOME_TRY(found, store_.Read(kHeadKey));
  std::optional<document_head> head = DecodeHead(found.value);
  if (!head) {
    return store_error::kBadAnswer;
  }
  return *std::move(head);
}

store_result<section> document_service::ReadSection(const std::string& name) {
  BOOST_OUTCOME_TRY(found, store_.Read(SectionKey(name)));
  std::optional<section> parsed = DecodeSection(name, found.value);
  if (!parsed) {
    return store_error::kBadAnswer;
  }
  return *std::move(parsed);
}

// The head names the version of each section, so section rows that match it form one version of the
// document, even if edits were committed between the reads.
store_result<document_service::loaded_rows> document_service::LoadRows() {
  for (int attempt = 0; attempt < kMaxLoadAttempts; ++attempt) {
    loaded_rows loaded;
    const auto head_row = store_.Read(kHeadKey);
    if (head_row.has_error() && head_row.error() != store_error::kNotFound) {
      return head_row.error();
    }
    if (head_row.has_value()) {
      std::optional<document_head> head = DecodeHead(head_row.value().value);
      if (!head) {
        return store_error::kBadAnswer;
      }
      loaded.head = *std::move(head);
      loaded.head_row_version = head_row.value().version;
    }
    BOOST_OUTCOME_TRY(rows, store_.Scan(kSectionPrefix));
    std::map<std::string, std::uint64_t> versions;
    for (const row& entry : rows) {
      const std::string name = entry.key.substr(std::string_view(kSectionPrefix).size());
      std::optional<section> parsed = DecodeSection(name, entry.value);
      if (!parsed) {
        return store_error::kBadAnswer;
      }
      versions[name] = parsed->version;
      loaded.section_row_versions[name] = entry.version;
      loaded.sections.push_back(*std::move(parsed));
    }
    if (versions == loaded.head.section_versions) {
      return loaded;
    }
  }
  return store_error::kBadAnswer;
}

store_result<document_ptr> document_service::LoadDocument() {
  BOOST_OUTCOME_TRY(loaded, LoadRows());
  if (loaded.head_row_version == 0) {
    return store_error::kNotFound;
  }
  document_ptr made =
      operating_document::Make(loaded.head.version, std::move(loaded.sections), nullptr);
  if (made == nullptr) {
    return store_error::kBadAnswer;
  }
  return made;
}

store_result<std::vector<row>> document_service::ReadRollouts() {
  return store_.Scan("control/rollout/");
}

edit_outcome document_service::Initialize(std::vector<section> sections) {
  document_head head{.version = 1, .section_versions = {}};
  transaction writes;
  writes.conditions.push_back({kHeadKey, 0});
  for (section& entry : sections) {
    entry.version = 1;
    head.section_versions[entry.name] = 1;
    writes.conditions.push_back({SectionKey(entry.name), 0});
    writes.writes.push_back({SectionKey(entry.name), Encode(entry)});
  }
  writes.writes.push_back({kHeadKey, Encode(head)});
  edit_outcome outcome;
  const std::string edit_id = sections.empty() ? std::string() : sections.front().edit_id;
  outcome.document = operating_document::Make(1, std::move(sections), &outcome.errors);
  if (outcome.document == nullptr) {
    outcome.status = edit_status::kInvalid;
    return outcome;
  }
  const auto committed = store_.Commit(writes);
  if (committed.has_value()) {
    outcome.status = edit_status::kAccepted;
    outcome.section_version = outcome.document_version = 1;
    return outcome;
  }
  if (committed.error() != store_error::kConflict && !IsOutcomeUnknown(committed.error())) {
    return MakeOutcome(edit_status::kUnavailable);
  }
  // This call or an earlier one whose response was lost may have written the rows.
  const auto current = LoadRows();
  if (current.has_error()) {
    return MakeOutcome(edit_status::kUnknown);
  }
  const bool is_own_edit =
      !edit_id.empty() &&
      std::ranges::any_of(current.value().sections, [&edit_id](const section& entry) {
        return entry.version == 1 && entry.edit_id == edit_id;
      });
  if (!is_own_edit) {
    return MakeOutcome(edit_status::kConflict);
  }
  outcome.status = edit_status::kAccepted;
  outcome.section_version = outcome.document_version = 1;
  return outcome;
}

/** The document after an edit and the transaction that commits the edit. */
struct document_service::proposal {
  document_ptr document;
  std::vector<document::document_error> errors;
  transaction writes;
};

document_service::proposal document_service::BuildProposal(const loaded_rows& rows,
                                                           const section_edit& edit) {
  const section proposed{.name = edit.section,
                         .version = edit.base_version + 1,
                         .edit_id = edit.edit_id,
                         .author = edit.author,
                         .text = edit.text};
  std::vector<section> sections = rows.sections;
  std::erase_if(sections, [&edit](const section& entry) { return entry.name == edit.section; });
  sections.push_back(proposed);
  document_head head = rows.head;
  ++head.version;
  head.section_versions[edit.section] = proposed.version;
  const edit_record record{.section = edit.section,
                           .text_sha256 = Sha256Hex(edit.text),
                           .section_version = proposed.version,
                           .document_version = head.version};
  const auto section_row = rows.section_row_versions.find(edit.section);
  const std::string edit_key = kEditPrefix + edit.edit_id;
  proposal next;
  next.document = operating_document::Make(head.version, std::move(sections), &next.errors);
  next.writes.conditions = {
      {SectionKey(edit.section),
       section_row == rows.section_row_versions.end() ? 0 : section_row->second},
      {kHeadKey, rows.head_row_version},
      {edit_key, 0}};
  next.writes.writes = {{SectionKey(edit.section), Encode(proposed)},
                        {kHeadKey, Encode(head)},
                        {edit_key, Encode(record)}};
  return next;
}

edit_outcome document_service::Edit(const section_edit& edit) {
  if (!IsSectionName(edit.section)) {
    return MakeOutcome(edit_status::kUnknownSection);
  }
  const auto owner = options_.owners.find(edit.section);
  if (owner == options_.owners.end() || owner->second != edit.team) {
    return MakeOutcome(edit_status::kForbidden);
  }
  TARRAGON_INVARIANT(!edit.edit_id.empty(), "edit id must not be empty");
  // Set once a commit may have been applied. Its conditions name row versions, so it can no longer
  // be applied after the section or the head has changed.
  bool may_be_applied = false;
  int platform_failures = 0;
  const auto count_failure_and_check_limit = [&] {
    if (++platform_failures >= options_.max_platform_failures) {
      return true;
    }
    sleep_(options_.retry_delay);
    return false;
  };
  const auto make_failure_outcome = [&] {
    return MakeOutcome(may_be_applied ? edit_status::kUnknown : edit_status::kUnavailable);
  };
  for (int attempt = 0; attempt < options_.max_attempts; ++attempt) {
    auto loaded = LoadRows();
    if (loaded.has_error()) {
      if (count_failure_and_check_limit()) {
        return make_failure_outcome();
      }
      continue;
    }
    const loaded_rows& rows = loaded.value();
    const section* current = rows.Find(edit.section);
    if ((current == nullptr ? 0 : current->version) != edit.base_version) {
      edit_outcome outcome = ResolveVersionMismatch(
          edit,
          current == nullptr
              ? section{.name = edit.section, .version = 0, .edit_id = {}, .author = {}, .text = {}}
              : *current);
      if (outcome.status != edit_status::kUnavailable) {
        return outcome;
      }
      if (count_failure_and_check_limit()) {
        return make_failure_outcome();
      }
      continue;
    }
    proposal next = BuildProposal(rows, edit);
    if (next.document == nullptr) {
      edit_outcome outcome = MakeOutcome(edit_status::kInvalid);
      outcome.errors = std::move(next.errors);
      return outcome;
    }
    // The superseded version is archived before the commit: a process that ends between the two
    // calls leaves an extra copy, never a gap in the history.
    if (current != nullptr && ArchiveSection(*current).has_error()) {
      if (count_failure_and_check_limit()) {
        return make_failure_outcome();
      }
      continue;
    }
    const auto committed = store_.Commit(next.writes);
    if (committed.has_value()) {
      edit_outcome outcome = MakeOutcome(edit_status::kAccepted);
      outcome.section_version = edit.base_version + 1;
      outcome.document_version = next.document->version();
      outcome.document = std::move(next.document);
      if (outcome.document_version % kPruneIntervalVersions == 0) {
        PruneEditRecords(outcome.document_version);
      }
      return outcome;
    }
    if (committed.error() == store_error::kConflict) {
      // If the section has not changed, an existing record of the id belongs to another edit.
      const auto known = ReadEditRecord(edit.edit_id);
      if (known.has_value()) {
        const std::optional<edit_record> record = DecodeEditRecord(known.value());
        if (record && !IsRecordOf(*record, edit)) {
          return MakeOutcome(edit_status::kEditIdReused);
        }
      }
      continue;
    }
    may_be_applied = may_be_applied || IsOutcomeUnknown(committed.error());
    if (count_failure_and_check_limit()) {
      return make_failure_outcome();
    }
  }
  return make_failure_outcome();
}

edit_outcome document_service::Undo(section_edit edit, std::uint64_t version) {
  const auto archived = ReadSectionVersion(edit.section, version);
  if (archived.has_error()) {
    return MakeOutcome(archived.error() == store_error::kNotFound ? edit_status::kNoSuchVersion
                                                                  : edit_status::kUnavailable);
  }
  edit.text = archived.value().text;
  return Edit(edit);
}

store_result<section> document_service::ReadSectionVersion(const std::string& name,
                                                           std::uint64_t version) {
  BOOST_OUTCOME_TRY(current, ReadSection(name));
  if (current.version == version) {
    return current;
  }
  if (version == 0 || version > current.version) {
    return store_error::kNotFound;
  }
  BOOST_OUTCOME_TRY(text, store_.GetObject(HistoryKey(name, version)));
  std::optional<section> archived = DecodeSection(name, text);
  if (!archived || archived->version != version) {
    return store_error::kBadAnswer;
  }
  return *std::move(archived);
}

store_result<std::string> document_service::ReadEditRecord(const std::string& edit_id) {
  BOOST_OUTCOME_TRY(found, store_.Read(kEditPrefix + edit_id));
  return std::move(found.value);
}

// Called after the section was found at another version than the edit's base. No commit based on
// the earlier version can be applied from then on, so without an edit record the edit was not
// applied.
edit_outcome document_service::ResolveVersionMismatch(const section_edit& edit,
                                                      const section& current) {
  const auto found = ReadEditRecord(edit.edit_id);
  if (found.has_value()) {
    const std::optional<edit_record> record = DecodeEditRecord(found.value());
    if (!record) {
      return MakeOutcome(edit_status::kUnavailable);
    }
    if (!IsRecordOf(*record, edit)) {
      return MakeOutcome(edit_status::kEditIdReused);
    }
    edit_outcome outcome = MakeOutcome(edit_status::kAccepted);
    outcome.section_version = record->section_version;
    outcome.document_version = record->document_version;
    return outcome;
  }
  if (found.error() != store_error::kNotFound) {
    return MakeOutcome(edit_status::kUnavailable);
  }
  edit_outcome outcome = MakeOutcome(edit_status::kConflict);
  outcome.section_version = current.version;
  outcome.difference = document::LineDiff(current.text, edit.text);
  return outcome;
}

store_result<void> document_service::ArchiveSection(const section& superseded) {
  // Every writer stores the same bytes for a version, so repeated writes are idempotent.
  BOOST_OUTCOME_TRY(ignored, store_.PutObject(HistoryKey(superseded.name, superseded.version),
                                              Encode(superseded)));
  static_cast<void>(ignored);
  return boost::outcome_v2::success();
}

void document_service::PruneEditRecords(std::uint64_t document_version) {
  const auto rows = store_.Scan(kEditPrefix);
  if (rows.has_error()) {
    return;  // The next prune deletes these records.
  }
  transaction deletes;
  for (const row& entry : rows.value()) {
    const std::optional<edit_record> record = DecodeEditRecord(entry.value);
    if (record && record->document_version + kEditRetentionVersions >= document_version) {
      continue;
    }
    deletes.conditions.push_back({entry.key, entry.version});
    deletes.writes.push_back({entry.key, std::nullopt});
    if (deletes.writes.size() == kMaxDeletesPerCommit) {
      static_cast<void>(store_.Commit(deletes));
      deletes = {};
    }
  }
  if (!deletes.writes.empty()) {
    static_cast<void>(store_.Commit(deletes));
  }
}

}  // namespace tarragon::store
