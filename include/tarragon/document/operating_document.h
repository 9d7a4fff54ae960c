#ifndef TARRAGON_DOCUMENT_OPERATING_DOCUMENT_H_
#define TARRAGON_DOCUMENT_OPERATING_DOCUMENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::document {

/** How to continue a request whose generation is lost when its endpoint fails. */
enum class loss_policy : std::uint8_t {
  /** The response is buffered until it is complete; a lost generation is replaced by a new one. */
  kHold,
  /** A new generation starts; the client discards the tokens of the lost one. */
  kRestart,
  /** The request ends with the verdict `may-have-run`. */
  kEnd,
};

/** A class of requests, chosen by the caller or by the service's default. */
struct request_class {
  std::string name;
  /** Priority passed to engines; lower is served first. */
  int priority = 0;
  loss_policy on_loss = loss_policy::kRestart;
  std::chrono::milliseconds default_deadline{60000};
  /** Urgent classes leave the admission queue before all others. */
  bool urgent = false;
};

/** A client account and its share of the fleet. */
struct client_account {
  std::string name;
  /** Share relative to other accounts; positive. */
  double weight = 1;
  /** Requests per second over all entries; 0 means no limit. */
  double requests_per_second = 0;
  /** SHA-256 of the bearer token in lower-case hex. */
  std::string token_sha256;
};

/** A model that endpoints are ordered to serve. */
struct model_settings {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;
  /** Share of the model's endpoints in [0, 1] that keep serving during a rollout. */
  double min_serving_share = 0.5;
};

enum class service_kind : std::uint8_t { kModel, kPlain };

/** A service that requests are routed to. */
struct service_settings {
  std::string name;
  service_kind kind = service_kind::kModel;
  /** Model served; empty for plain services. */
  std::string model;
  /** Class of requests that do not name one. */
  std::string default_class;
  /** Path prefixes whose POST, PUT, PATCH and DELETE calls may run at most once. */
  std::vector<std::string> unrepeatable_paths;
  /**
   * False lets the service have no serving endpoint while it is added or removed. Services and
   * endpoints are in different sections, which are edited one at a time, so the checks would
   * otherwise refuse either change.
   */
  bool must_serve = true;
};

enum class serving_state : std::uint8_t { kServing, kLeaving };

/** An endpoint: one model engine or one instance of a plain service. */
struct endpoint_settings {
  std::string name;
  /** `ip:port`. */
  std::string address;
  std::string service;
  std::string failure_domain;
  /** Whether the endpoint refuses orders that carry a stale fencing number. */
  bool checks_fencing = false;
  serving_state state = serving_state::kServing;
};

struct vm_settings {
  std::string name;
  serving_state state = serving_state::kServing;
};

enum class drill_step_kind : std::uint8_t { kDrainEndpoint, kDrainVm, kDrainFailureDomain, kProbe };

/** One step of the drill, with its limits on errors and latency. */
struct drill_step {
  std::string name;
  drill_step_kind kind = drill_step_kind::kProbe;
  /** Endpoint, VM, failure domain or service, depending on `kind`. */
  std::string target;
  /** Probe requests to send. */
  int requests = 0;
  std::chrono::milliseconds timeout{10000};
  /** Largest allowed share of failed probes, in [0, 1]. */
  double max_error_share = 0;
  /** Largest allowed p99 of the probe latency. */
  std::chrono::milliseconds max_p99{1000};
};

/** One section of the document, edited by its owner team. */
struct section {
  std::string name;
  /** Incremented by each accepted edit; 0 before the first. */
  std::uint64_t version = 0;
  /** Unique id of the edit that wrote this version. */
  std::string edit_id;
  std::string author;
  /** TOML. */
  std::string text;
};

/** Parsed contents of all sections. */
struct document_contents {
  std::vector<model_settings> models;
  std::vector<client_account> accounts;
  std::vector<request_class> classes;
  std::vector<service_settings> services;
  std::vector<endpoint_settings> endpoints;
  std::vector<vm_settings> vms;
  std::vector<drill_step> drill;
};

class operating_document;
using document_ptr = std::shared_ptr<const operating_document>;

/** A validation error in a section; `line` is 1-based, or 0 if the error has no line. */
struct document_error {
  std::string section;
  int line = 0;
  std::string message;
};

/** One version of the whole operating document. Immutable; shared between threads. */
class operating_document final {
 public:
  /**
   * Parses and validates all sections: schema, references between sections, and that each service
   * has a serving endpoint.
   * @param version version of the whole document, incremented by each accepted edit.
   * @param errors receives the validation errors; may be null.
   * @return null if any section is invalid.
   */
  static document_ptr Make(std::uint64_t version,
                           std::vector<section> sections,
                           std::vector<document_error>* errors);

  /** Makes a document from parsed contents, for tests. Nothing is validated. */
  static document_ptr MakeForTesting(std::uint64_t version, document_contents contents);

  std::uint64_t version() const { return version_; }
  const std::vector<section>& sections() const { return sections_; }
  const document_contents& contents() const { return contents_; }

  /** @return the named entry, or null. */
  const section* FindSection(std::string_view name) const;
  const model_settings* FindModel(std::string_view name) const;
  const client_account* FindAccount(std::string_view name) const;
  const client_account* FindAccountByTokenHash(std::string_view token_sha256) const;
  const request_class* FindClass(std::string_view name) const;
  const service_settings* FindService(std::string_view name) const;
  const service_settings* FindServiceOfModel(std::string_view model) const;
  const endpoint_settings* FindEndpoint(std::string_view name) const;

 private:
  operating_document(std::uint64_t version,
                     std::vector<section> sections,
                     document_contents contents);

  std::uint64_t version_;
  std::vector<section> sections_;
  document_contents contents_;
};

/** Names of all sections: models, accounts, classes, services, fleet, drill. */
const std::vector<std::string>& SectionNames();

}  // namespace tarragon::document

#endif  // TARRAGON_DOCUMENT_OPERATING_DOCUMENT_H_
