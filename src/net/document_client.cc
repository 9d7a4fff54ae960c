#include "tarragon/net/document_client.h"

#include <array>
#include <asio.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "peer_endpoint.h"
#include "tarragon/wire/document_message.h"

namespace tarragon::net {

namespace {

/** Connect, send, read header, read the rest: each step starts the next one. */
class exchange final {
 public:
  exchange(asio::io_context& context, std::string request)
      : socket_(context), frame_(std::move(request)) {}

  void Start(const asio::ip::tcp::endpoint& peer) {
    socket_.async_connect(peer, [this](const asio::error_code& fault) {
      if (!fault) {
        Write();
      }
    });
  }
  bool IsDone() const { return done_; }
  const std::string& Frame() const { return frame_; }

 private:
  void Write() {
    asio::async_write(socket_, asio::buffer(frame_),
                      [this](const asio::error_code& fault, std::size_t) {
                        if (!fault) {
                          ReadHeader();
                        }
                      });
  }
  void ReadHeader() {
    asio::async_read(socket_, asio::buffer(header_),
                     [this](const asio::error_code& fault, std::size_t) {
                       if (!fault) {
                         ReadFrame();
                       }
                     });
  }
  void ReadFrame() {
    const auto length = wire::FrameLength(std::string_view(header_.data(), header_.size()));
    if (!length) {
      return;
    }
    frame_.resize(*length);
    asio::async_read(socket_, asio::buffer(frame_),
                     [this](const asio::error_code& fault, std::size_t) { done_ = !fault; });
  }

  asio::ip::tcp::socket socket_;
  std::array<char, wire::kFrameHeaderSize> header_{};
  std::string frame_;
  bool done_ = false;
};

}  // namespace

document::document_ptr FetchDocument(const wire::peer_address& peer,
                                     const std::string& key,
                                     std::uint64_t newer_than,
                                     std::chrono::milliseconds timeout) {
  asio::io_context context(1);
  exchange transfer(context, wire::EncodeFrame(wire::document_request{newer_than}, key));
  transfer.Start({ToIp(peer), peer.port});
  context.run_for(timeout);
  if (!transfer.IsDone()) {
    return nullptr;
  }
  std::optional<wire::document_answer> answer = wire::DecodeAnswer(transfer.Frame(), key);
  if (!answer || answer->version <= newer_than) {
    return nullptr;
  }
  std::vector<document::section> sections;
  sections.reserve(answer->sections.size());
  for (wire::wire_section& entry : answer->sections) {
    sections.push_back({.name = std::move(entry.name),
                        .version = entry.version,
                        .edit_id = std::move(entry.edit_id),
                        .author = std::move(entry.author),
                        .text = std::move(entry.text)});
  }
  return document::operating_document::Make(answer->version, std::move(sections), nullptr);
}

}  // namespace tarragon::net
