#ifndef TARRAGON_CONTROL_ENGINE_ORDER_H_
#define TARRAGON_CONTROL_ENGINE_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/base/ids.h"

namespace tarragon::control {

/** What an engine serves, or is ordered to serve. */
struct engine_setup {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  /** Name of the service that the engine belongs to. */
  std::string role;
  bool operator==(const engine_setup&) const = default;
};

/** State of one engine as it reported it. */
struct engine_report {
  endpoint_name endpoint;
  engine_setup setup;
  /** Fencing number and document version of the last order that the engine took; 0 before one. */
  std::uint64_t order_fencing = 0;
  std::uint64_t order_document_version = 0;
  /** The engine is loading and does not serve. */
  bool loading = false;
  bool leaving = false;
};

/** Order to reach an end state; repeating it changes nothing. */
struct engine_order {
  endpoint_name endpoint;
  std::uint64_t fencing_number = 0;
  std::uint64_t document_version = 0;
  engine_setup wanted;
};

/** What became of an order. */
enum class order_answer : std::uint8_t {
  kAccepted,
  /** The engine has seen a higher fencing number. */
  kFenced,
  /** The engine took the order and could not carry it out, or refused its contents. */
  kFailed,
  /** No answer: the order may have arrived. */
  kUnknown,
};

}  // namespace tarragon::control

#endif  // TARRAGON_CONTROL_ENGINE_ORDER_H_
