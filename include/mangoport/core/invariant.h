#ifndef MANGOPORT_CORE_INVARIANT_H_
#define MANGOPORT_CORE_INVARIANT_H_

#include <functional>
#include <string>
#include <string_view>

namespace mangoport {

/// Called with the invariant's name and what was seen. The default writes both
/// to standard error and aborts: a process that has broken a promise stops
/// before it breaks it again.
using InvariantHandler =
    std::function<void(std::string_view name, std::string_view detail)>;

/// Replaces the handler. Soaks add their seed and step; call it before any
/// thread starts.
void SetInvariantHandler(InvariantHandler handler);

/// Reports a broken invariant; use it through `CheckInvariant`.
void ReportBrokenInvariant(std::string_view name, std::string_view detail);

/// Checks one of the brief's promises, in every build.
///
/// `detail` is called only when `holds` is false and returns the text that
/// goes with the report.
template <typename Detail>
void CheckInvariant(bool holds, std::string_view name, Detail detail) {
  if (holds) [[likely]]
    return;
  ReportBrokenInvariant(name, detail());
}

}  // namespace mangoport

#endif  // MANGOPORT_CORE_INVARIANT_H_
