#ifndef TARRAGON_STORE_DOCUMENT_SERVICE_H_
#define TARRAGON_STORE_DOCUMENT_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "tarragon/document/operating_document.h"
#include "tarragon/store/platform_store.h"

namespace tarragon::store {

/** Row `document/head`: the version of the document and of each of its sections. */
struct document_head {
  std::uint64_t version = 0;
  std::map<std::string, std::uint64_t> section_versions;
};

/** A proposed new text of one section. */
struct section_edit {
  std::string section;
  /** Version of the section that the text is based on; 0 if there is none. */
  std::uint64_t base_version = 0;
  /** Unique per edit; repeating a call with the same id has no further effect. */
  std::string edit_id;
  /** Team of the author; must own the section. */
  std::string team;
  std::string author;
  std::string text;
};

enum class edit_status : std::uint8_t {
  /** The edit was applied, by this call or by an earlier one with the same id. */
  kAccepted,
  /** The section has changed since `base_version`; nothing was written. */
  kConflict,
  /** The document would be invalid; nothing was written. */
  kInvalid,
  /** The team does not own the section; nothing was written. */
  kForbidden,
  kUnknownSection,
  /** The version to restore is not in the history; nothing was written. */
  kNoSuchVersion,
  /** An earlier edit with other contents has this id; nothing was written. */
  kEditIdReused,
  /** The platform is unavailable or all attempts conflicted; the edit was not applied. */
  kUnavailable,
  /** The edit may have been applied; repeat the call with the same id. */
  kUnknown,
};

std::string_view ToString(edit_status status);

struct edit_outcome {
  edit_status status = edit_status::kUnavailable;
  /** Section version that contains the edit, or the current version on a conflict. */
  std::uint64_t section_version = 0;
  /** Document version that the edit created; 0 unless accepted. */
  std::uint64_t document_version = 0;
  /** Line diff from the current text to the proposed one, on a conflict. */
  std::string difference;
  std::vector<document::document_error> errors;
  /** Document that the edit created if this call wrote it, otherwise null. */
  document::document_ptr document;
};

struct document_service_options {
  /** Owner team of each section. A section that is not listed cannot be edited. */
  std::map<std::string, std::string> owners;
  /** Maximum attempts per call; each conflict with an edit of another section uses one. */
  int max_attempts = 32;
  /** Number of failed platform calls after which an edit gives up. */
  int max_platform_failures = 4;
  std::chrono::milliseconds retry_delay{100};
};

/**
 * Reads and edits the operating document in the platform's table. An edit is one transaction that
 * writes the section row, the head row and a row with the edit id. Thread-safe.
 */
class document_service final {
 public:
  using sleep_function = std::function<void(std::chrono::milliseconds)>;

  /**
   * @param store must outlive the service.
   * @param sleep waits between attempts; if empty, the calling thread sleeps.
   */
  document_service(platform_store& store,
                   document_service_options options,
                   sleep_function sleep = {});

  store_result<document_head> ReadHead();

  /** @return the current version of the section; kNotFound before its first edit. */
  store_result<document::section> ReadSection(const std::string& name);

  /** @return the newest document; kNotFound if there is none; kBadAnswer if it is invalid. */
  store_result<document::document_ptr> LoadDocument();

  /** @return the rollout row of each model, which the lease holder writes. */
  store_result<std::vector<row>> ReadRollouts();

  /**
   * Writes the first version of the document if none exists. All sections carry the same unique
   * edit id, by which a repeated call recognizes the writes of an earlier one.
   */
  edit_outcome Initialize(std::vector<document::section> sections);

  edit_outcome Edit(const section_edit& edit);

  /** Restores the text of section version `version` in a new edit; ignores `edit.text`. */
  edit_outcome Undo(section_edit edit, std::uint64_t version);

  /** @return the current or an earlier version of a section. */
  store_result<document::section> ReadSectionVersion(const std::string& name,
                                                     std::uint64_t version);

 private:
  struct loaded_rows;
  struct proposal;

  store_result<loaded_rows> LoadRows();
  static proposal BuildProposal(const loaded_rows& rows, const section_edit& edit);
  store_result<std::string> ReadEditRecord(const std::string& edit_id);
  edit_outcome ResolveVersionMismatch(const section_edit& edit, const document::section& current);
  store_result<void> ArchiveSection(const document::section& superseded);
  void PruneEditRecords(std::uint64_t document_version);

  platform_store& store_;
  document_service_options options_;
  sleep_function sleep_;
};

}  // namespace tarragon::store

#endif  // TARRAGON_STORE_DOCUMENT_SERVICE_H_
