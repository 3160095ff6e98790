//! Counts the bytes that are allocated on the heap.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, with a count of the allocated bytes. Programs install it as their global
/// allocator.
#[derive(Debug, Clone, Copy, Default)]
pub struct CountingAllocator;

/// Bytes that are allocated now; 0 in programs without [`CountingAllocator`].
pub fn allocated_bytes() -> usize {
    ALLOCATED.load(Ordering::Relaxed)
}

// SAFETY: every call is passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let block = System.alloc(layout);
        if !block.is_null() {
            ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        }
        block
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        let block = System.alloc_zeroed(layout);
        if !block.is_null() {
            ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        }
        block
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        System.dealloc(block, layout);
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
    }

    unsafe fn realloc(&self, block: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        let grown = System.realloc(block, layout, size);
        if !grown.is_null() {
            ALLOCATED.fetch_add(size, Ordering::Relaxed);
            ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        }
        grown
    }
}

/// Blocks of this size or more are returned to the system as soon as they are freed, in bytes.
#[cfg(target_env = "gnu")]
const MAPPED_BLOCK_BYTES: i32 = 128 * 1024;
/// Free memory that the allocator keeps at the end of the heap, in bytes.
#[cfg(target_env = "gnu")]
const KEPT_BYTES: i32 = 1024 * 1024;

/// Makes the allocator return freed memory to the system. By default, glibc raises both thresholds
/// with each large block that is freed, up to 64 MB of free memory that a process keeps.
pub fn return_freed_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: `mallopt` only changes parameters of the allocator; no other thread runs yet.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
        libc::mallopt(libc::M_TRIM_THRESHOLD, KEPT_BYTES);
    }
}
