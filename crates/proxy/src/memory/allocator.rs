//! Makes the C library's allocator return freed memory to the system, so that the memory of a flood does not
//! stay with the process.

/// Allocations of this size and above are mapped separately, and unmapped as soon as they are freed.
const MMAP_THRESHOLD_BYTES: i32 = 32 * 1024;
/// Free memory at the top of the heap from which it is returned to the system.
const TRIM_THRESHOLD_BYTES: i32 = 256 * 1024;
/// Number of heaps. One worker thread runs nearly all code, and each heap fragments separately.
const HEAPS: i32 = 1;

/// Configures the allocator. Must be called before other threads are started.
pub fn configure() {
    let options = [
        (libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES),
        (libc::M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES),
        (libc::M_ARENA_MAX, HEAPS),
    ];
    for (option, value) in options {
        // SAFETY: only integers are passed, and no other thread runs yet.
        #[expect(unsafe_code, reason = "the standard library does not configure the allocator")]
        let is_set = unsafe { libc::mallopt(option, value) };
        if is_set == 0 {
            eprintln!("gaugestep: cannot set option {option} of the allocator");
        }
    }
}

/// Returns free memory to the system, also from within the heap.
pub fn trim() {
    // SAFETY: the function may be called at any time, from any thread.
    #[expect(unsafe_code, reason = "the standard library does not trim the heap")]
    unsafe {
        libc::malloc_trim(0);
    }
}
