#include "memory/heap.h"

#include <malloc.h>

namespace foxtailturn::memory {

namespace {

constexpr int kMaxArenas = 4;
constexpr int kMappedBlockBytes = 65'536; // a fixed value: the library's own one grows
constexpr int kKeptBytes = 1'048'576; // at the end of the heap

} // namespace

void configureHeap()
{
    mallopt(M_ARENA_MAX, kMaxArenas);
    mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, kKeptBytes);
}

} // namespace foxtailturn::memory
