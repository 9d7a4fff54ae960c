#include "tarragon/routing/account_usage.h"

#include "tarragon/base/invariant.h"

namespace tarragon::routing {

account_usage::hold::hold(account_usage& usage,
                          std::string service,
                          std::string account,
                          std::uint64_t tokens)
    : usage_(tokens > 0 ? &usage : nullptr),
      key_(std::move(service), std::move(account)),
      tokens_(tokens) {
  if (tokens > 0) {
    usage.tokens_[key_] += tokens;
  }
}

account_usage::hold::hold(hold&& other) noexcept
    : usage_(std::exchange(other.usage_, nullptr)),
      key_(std::move(other.key_)),
      tokens_(other.tokens_) {}

account_usage::hold& account_usage::hold::operator=(hold&& other) noexcept {
  if (this != &other) {
    Release();
    usage_ = std::exchange(other.usage_, nullptr);
    key_ = std::move(other.key_);
    tokens_ = other.tokens_;
  }
  return *this;
}

void account_usage::hold::Release() {
  account_usage* const usage = std::exchange(usage_, nullptr);
  if (usage == nullptr) {
    return;
  }
  const auto found = usage->tokens_.find(key_);
  TARRAGON_INVARIANT(found != usage->tokens_.end() && found->second >= tokens_,
                     "an account has fewer tokens in flight than are released");
  found->second -= tokens_;
  if (found->second == 0) {
    usage->tokens_.erase(found);
  }
}

std::uint64_t account_usage::Tokens(const std::string& service, const std::string& account) const {
  const auto found = tokens_.find({service, account});
  return found == tokens_.end() ? 0 : found->second;
}

}  // namespace tarragon::routing
