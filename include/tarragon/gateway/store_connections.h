#ifndef TARRAGON_GATEWAY_STORE_CONNECTIONS_H_
#define TARRAGON_GATEWAY_STORE_CONNECTIONS_H_

#include <asio/io_context.hpp>
#include <string>

#include "tarragon/gateway/platform_adapter.h"
#include "tarragon/gateway/store_connection.h"

namespace tarragon::gateway {

/** The connections of one daemon to the store: each makes one call at a time. */
struct store_connections {
  store_connections(asio::io_context& loop,
                    const platform_adapter& adapter,
                    const std::string& address)
      : config(loop, adapter, address),
        endpoints(loop, adapter, address),
        daemons(loop, adapter, address),
        registration(loop, adapter, address),
        quarantine(loop, adapter, address),
        origin_writes(loop, adapter, address),
        origin_reads(loop, adapter, address) {}

  store_connection config;
  store_connection endpoints;
  store_connection daemons;
  store_connection registration;
  store_connection quarantine;
  store_connection origin_writes;
  store_connection origin_reads;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_STORE_CONNECTIONS_H_
