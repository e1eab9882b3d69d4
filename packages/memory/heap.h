#pragma once

// Settings of the C library's heap for a process with many threads and large short-lived blocks.
//
//     memory::configureHeap();    // first of all in main()

namespace foxtailturn::memory {

// Has freed blocks returned to the system: large ones are mapped one by one, and threads share few
// arenas, each of which would keep what it once needed. Precondition: no other thread runs.
void configureHeap();

} // namespace foxtailturn::memory
