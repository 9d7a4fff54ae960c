#include "tarragon/gateway/compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace tarragon::gateway {

namespace {

Bytef* Bytes(char* text) {
  return reinterpret_cast<Bytef*>(text);
}

}  // namespace

std::string Compress(std::string_view text) {
  uLongf size = ::compressBound(text.size());
  std::string compressed(size, '\0');
  ::compress2(Bytes(compressed.data()), &size, reinterpret_cast<const Bytef*>(text.data()),
              text.size(), Z_BEST_SPEED);
  compressed.resize(size);
  return compressed;
}

std::optional<std::string> Decompress(std::string_view bytes, std::size_t max_size) {
  constexpr std::size_t kStep = std::size_t{64} << 10;
  z_stream stream{};
  if (::inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string text;
  int result = Z_OK;
  while (result == Z_OK && text.size() <= max_size) {
    const std::size_t begin = text.size();
    text.resize(begin + kStep);
    stream.next_out = Bytes(text.data() + begin);
    stream.avail_out = static_cast<uInt>(kStep);
    result = ::inflate(&stream, Z_NO_FLUSH);
    text.resize(text.size() - stream.avail_out);
  }
  ::inflateEnd(&stream);
  const bool is_whole = result == Z_STREAM_END && stream.avail_in == 0 && text.size() <= max_size;
  return is_whole ? std::optional(std::move(text)) : std::nullopt;
}

}  // namespace tarragon::gateway
