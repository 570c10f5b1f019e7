#ifndef MANGOPORT_LIB_ENTRYHOST_OPEN_ANSWER_H_
#define MANGOPORT_LIB_ENTRYHOST_OPEN_ANSWER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "mangoport/entryhost/access.h"
#include "mangoport/entryhost/caller_api.h"
#include "mangoport/entryhost/caller_request.h"

namespace mangoport {

/// A caller's request that is being answered.
struct Exchange {
  RequestId request;
  MonoTime arrived;
  std::string surface;
  Identity identity;
  RequestTracker::Scope scope;
  /// An earlier attempt of the caller with the same key may already have run,
  /// so a refusal of this attempt does not imply that the request has not run.
  bool may_be_repeat = false;
};

/// A completion that is being sent to its caller.
///
/// On destruction, refunds the unused part of its charge, however the answer
/// ended.
class OpenAnswer {
 public:
  OpenAnswer(CallerServices& services,
             Exchange exchange,
             CallerCompletion completion,
             std::shared_ptr<BudgetCharge> charge);
  ~OpenAnswer();

  OpenAnswer(const OpenAnswer&) = delete;
  OpenAnswer& operator=(const OpenAnswer&) = delete;

  /// The next step, or an error if the key has been withdrawn meanwhile.
  CompletionStep Next(const KeyEvidence& evidence);

  const RequestId& request() const { return exchange_.request; }
  const ModelId& model() const { return completion_.model; }
  std::uint32_t tokens() const { return stream_.tokens(); }

 private:
  CompletionRequest MakeRequest() const;
  void NoteToken(MonoTime now);

  CallerServices& services_;
  Exchange exchange_;
  CallerCompletion completion_;
  std::shared_ptr<BudgetCharge> charge_;
  CompletionStream stream_;
  std::string_view outcome_ = "cancelled";
  /// True if a backend server may have started to run the request.
  bool may_have_run_ = false;
  MonoTime last_token_;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIB_ENTRYHOST_OPEN_ANSWER_H_
