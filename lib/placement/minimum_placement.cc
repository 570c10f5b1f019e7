#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "mangoport/placement/planner.h"

namespace mangoport {

Findings CheckMinimumPlacement(const std::vector<ModelDemand>& models,
                               const std::vector<EngineSpec>& engines) {
  std::vector<std::uint64_t> free_mb;
  for (const EngineSpec& it : engines)
    free_mb.push_back(it.memory_mb - std::min(it.memory_mb, it.reserve_mb));
  std::vector<const ModelDemand*> by_size;
  for (const ModelDemand& it : models)
    by_size.push_back(&it);
  std::stable_sort(by_size.begin(), by_size.end(),
                   [](const ModelDemand* a, const ModelDemand* b) {
                     return a->size_mb > b->size_mb;
                   });
  Findings findings;
  for (const ModelDemand* model : by_size) {
    std::uint64_t* best = nullptr;
    for (std::uint64_t& it : free_mb) {
      if (it >= model->size_mb && (best == nullptr || it < *best))
        best = &it;
    }
    if (best != nullptr) {
      *best -= model->size_mb;
      continue;
    }
    findings.push_back(
        {{},
         "model '" + model->model.value() + "' (" +
             std::to_string(model->size_mb) +
             " MB) does not fit on any engine beside the other models",
         ""});
  }
  return findings;
}

}  // namespace mangoport
