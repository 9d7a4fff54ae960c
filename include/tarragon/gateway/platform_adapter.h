#ifndef TARRAGON_GATEWAY_PLATFORM_ADAPTER_H_
#define TARRAGON_GATEWAY_PLATFORM_ADAPTER_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/result.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/http/header_list.h"
#include "tarragon/routing/endpoint_registry.h"
#include "tarragon/routing/service_config.h"

namespace tarragon::gateway {

/** Wire names of the headers that the gateway reads or sets. */
struct header_names {
  /** Identifies one attempt of a caller; echoed by endpoints. */
  std::string request_id;
  /** Milliseconds for which the sender waits for the response. */
  std::string deadline;
  std::string last_event_id;
  /** Id of the attempt that brought the first event of the stream that the caller takes up. */
  std::string resumed_request_id;
  /** Present only in responses produced by an endpoint itself. */
  std::string signature;
  /** Client account name, sent to endpoints. */
  std::string account;
  std::string credentials;
  /** Id of the only endpoint that may accept the request. */
  std::string expected_endpoint;
  /** Present if the endpoint certainly did not run the request. */
  std::string not_run;
  std::string retry_after;
  /** Rank of the request at an engine: 0 is admitted first and preempts the others. */
  std::string request_priority;
  /** Address of the engine that holds the backup of the generation's KV cache. */
  std::string backup_engine;
  /** Reference to the KV cache copy from which a generation is resumed. */
  std::string kv_copy;
  /** Headers that only the gateway may set; removed from callers' requests. */
  std::vector<std::string> reserved;
};

/** Size of a generation as stated by the caller. */
struct generation_size {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /** The caller's estimate of the output length: accurate at the median, often far off. */
  std::optional<std::uint32_t> expected_output_tokens;
};

/** Load that an endpoint reports in a response. */
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /** Current processing time at the endpoint relative to its normal processing time. */
  double slowness = 1;
};

/** Whether an endpoint says in a response that it leaves. */
enum class leaving_statement : std::uint8_t {
  kNone,
  kLeaving,
  /** The header is there, with another value than the platform defines. */
  kUnreadable,
};

/** Time for which an endpoint that turned a request away wants no further ones. */
struct pause_statement {
  /** The longest readable time; empty if there is none. */
  std::optional<duration> time;
  /** A value could not be read, or there were several. */
  bool is_irregular = false;
};

/** A request to the store or to an engine. */
struct service_call {
  std::string method;
  std::string target;
  std::string body;
};

/** A row of one of the store's tables. */
struct table_row {
  std::string key;
  std::string value;
  routing::store_version version;
  bool deleted = false;
};

/** A row to write. */
struct new_row {
  std::string key;
  std::string value;
};

/** Rows that are written and removed in one transaction. */
struct table_change {
  std::string_view table;
  std::string_view partition;
  std::vector<new_row> rows;
  std::vector<std::string> removed;
  /** If set, the first removed row must have this version, or nothing is changed. */
  std::optional<routing::store_version> removed_version;
};

/** Keys of a partition of a table, from `from` up to but not including `to`. */
struct row_range {
  std::string_view table;
  std::string_view partition;
  std::string_view from;
  std::string_view to;
};

struct table_page {
  std::vector<table_row> rows;
  /** The store's newest version at the time of the response. */
  routing::store_version version;
  /** The store's steady clock at the time of the response; zero if the response lacks it. */
  std::chrono::milliseconds store_time{0};
  /** The table has more rows after this page. */
  bool more = false;
};

/** Copy of a generation's KV cache made by an engine. */
struct kv_copy {
  std::string handle;
  /** Events that the generation had produced when the copy completed. */
  std::uint64_t events = 0;
};

struct decode_error {
  std::string message;
};

template <typename T>
using decode_result = boost::outcome_v2::checked<T, decode_error>;

/**
 * Names, formats and calls of the platform on which the gateway runs. Implementations only
 * translate; they make no decisions. Methods named `...Call` build a call without sending it.
 */
class platform_adapter {
 public:
  virtual ~platform_adapter() = default;

  virtual const header_names& names() const = 0;

  /** @return the API key in a request; empty if there is none. */
  virtual std::string_view ReadApiKey(const http::header_list& headers) const = 0;
  virtual generation_size ReadGenerationSize(const http::header_list& headers) const = 0;
  /** @return ids of the parts of a generation's prompt, in their order; empty if none are stated.
   */
  virtual std::vector<std::string> ReadPromptParts(const http::header_list& headers) const = 0;
  /** @return empty if the response carries no readable load. */
  virtual std::optional<load_report> ReadLoadReport(const http::header_list& headers) const = 0;

  /** @return requests per second that the endpoint takes from all daemons; empty if not limited. */
  virtual std::optional<double> ReadRateLimit(const http::header_list& headers) const = 0;

  /**
   * @return number of requests that the endpoint may turn away in a second before it fails; empty
   *     if it does not state that it is about to.
   */
  virtual std::optional<double> ReadBrittleness(const http::header_list& headers) const = 0;

  virtual leaving_statement ReadLeaving(const http::header_list& headers) const = 0;
  /** Reads the headers of a response that turns a request away. */
  virtual pause_statement ReadPause(const http::header_list& headers) const = 0;

  /** Path of the readiness check on the readiness address. */
  virtual std::string_view ReadinessPath() const = 0;

  virtual std::string_view ConfigTable() const = 0;
  virtual std::string_view ConfigKey() const = 0;
  /**
   * @param key key of a row of the table that holds the configuration.
   * @return the failure domain that the row orders to be evacuated; empty for other rows.
   */
  virtual std::optional<std::string> ReadEvacuatedDomain(std::string_view key) const = 0;
  virtual std::string_view EndpointTable() const = 0;

  /**
   * @return the era that a response of the store names: it rises whenever the store returns from a
   *     copy and has lost what it had acknowledged since. 0 if the store names none.
   */
  virtual std::uint64_t ReadStoreEra(const http::header_list& headers) const = 0;

  /** @param from first key to read; empty for the start of the table. */
  virtual service_call ReadTableCall(std::string_view table, std::string_view from) const = 0;
  /** Long poll for changes after version `after` of the store's present era; the store waits up to
   * `wait` for a change. */
  virtual service_call WatchTableCall(std::string_view table,
                                      std::uint64_t after,
                                      std::chrono::milliseconds wait) const = 0;
  virtual service_call PutRowCall(std::string_view table,
                                  std::string_view key,
                                  std::string_view value) const = 0;
  virtual service_call ChangeRowsCall(const table_change& change) const = 0;
  virtual service_call ReadRangeCall(const row_range& range) const = 0;
  /**
   * @param era of the store, as the headers of the response name it.
   * @param partition whose rows are wanted; those of others are left out.
   */
  virtual decode_result<table_page> DecodePage(std::string_view body,
                                               std::uint64_t era,
                                               std::string_view partition) const = 0;
  /** Same for the partition of the rows of the operator, the endpoints and the daemons. */
  decode_result<table_page> DecodePage(std::string_view body, std::uint64_t era) const {
    return DecodePage(body, era, {});
  }

  virtual decode_result<routing::service_config_ptr> DecodeConfig(std::string_view value) const = 0;
  virtual decode_result<routing::endpoint_entry> DecodeEndpoint(std::string_view id,
                                                                std::string_view value) const = 0;

  /**
   * Copies the KV cache of a running generation, or its part since the last copy, to another
   * engine. Sent to the engine that runs the generation. Empty if the platform's format cannot
   * express the id.
   */
  virtual std::optional<service_call> CopyKvCacheCall(std::string_view request_id,
                                                      std::string_view to_address) const = 0;
  virtual decode_result<kv_copy> DecodeKvCopy(std::string_view body) const = 0;
  /** Frees a copy at both engines. Sent to the engine that made the copy. */
  virtual service_call FreeKvCopyCall(std::string_view handle) const = 0;
  /** @return the value of the header `header_names::kv_copy`. */
  virtual std::string KvCopyReference(std::string_view address, std::string_view handle) const = 0;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_PLATFORM_ADAPTER_H_
