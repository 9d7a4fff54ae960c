#ifndef TARRAGON_CONTROL_ENGINE_ORDER_H_
#define TARRAGON_CONTROL_ENGINE_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/base/ids.h"

namespace tarragon::control {

/** Model, version, adapters and role that an engine serves or is ordered to serve. */
struct engine_setup {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  /** Name of the service that the engine belongs to. */
  std::string role;
  bool operator==(const engine_setup&) const = default;
};

/** State of one engine, as the engine reported it. */
struct engine_report {
  endpoint_name endpoint;
  engine_setup setup;
  /** Fencing number and document version of the last order that the engine accepted, or 0. */
  std::uint64_t order_fencing = 0;
  std::uint64_t order_document_version = 0;
  /** The engine is loading a model and does not serve requests. */
  bool loading = false;
  bool leaving = false;
};

/** Tells an engine which setup to reach. Idempotent: a repeated order changes nothing. */
struct engine_order {
  endpoint_name endpoint;
  std::uint64_t fencing_number = 0;
  std::uint64_t document_version = 0;
  engine_setup desired;
};

/** Outcome of sending an order to an engine. */
enum class order_result : std::uint8_t {
  kAccepted,
  /** The engine rejected the order because it has seen a higher fencing number. */
  kFenced,
  /** The engine could not carry out the order, or rejected its contents. */
  kFailed,
  /** The engine did not answer; it may have received the order. */
  kUnknown,
};

}  // namespace tarragon::control

#endif  // TARRAGON_CONTROL_ENGINE_ORDER_H_
