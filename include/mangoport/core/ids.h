#ifndef MANGOPORT_CORE_IDS_H_
#define MANGOPORT_CORE_IDS_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace mangoport {

/// A name that only compares with names of the same kind.
///
/// Passing a host where an account is meant is a compile error; the text is
/// reached by `value()` where it goes into a message or a record.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;

 private:
  std::string value_;
};

using HostId = Id<struct HostTag>;
using ZoneId = Id<struct ZoneTag>;
using AccountId = Id<struct AccountTag>;
using ServerId = Id<struct ServerTag>;
using ModelId = Id<struct ModelTag>;
using AdapterId = Id<struct AdapterTag>;
using KeyId = Id<struct KeyTag>;
using RequestId = Id<struct RequestTag>;
using StreamId = Id<struct StreamTag>;

/// One run of one process: a host that restarts is a new writer.
using WriterId = Id<struct WriterTag>;

}  // namespace mangoport

template <typename Tag>
struct std::hash<mangoport::Id<Tag>> {
  std::size_t operator()(const mangoport::Id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};

#endif  // MANGOPORT_CORE_IDS_H_
