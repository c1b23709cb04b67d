//! The memory that reading a long file takes, measured by the allocator. This test program has a single test, because
//! the allocator counts the allocations of all threads.

use ochrewalk::deployment::Placement;
use std::alloc::{GlobalAlloc, Layout, System};
use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The system's allocator, with counts of the bytes in use and of their peak.
struct CountingAllocator;

static IN_USE: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

fn count_allocation(bytes: usize) {
    let in_use = IN_USE.fetch_add(bytes, Ordering::Relaxed) + bytes;
    PEAK.fetch_max(in_use, Ordering::Relaxed);
}

// SAFETY: every request is passed on to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count_allocation(layout.size());
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const TENANTS: usize = 100_000;
const METHODS: usize = 10_000;
/// The maximum ratio of the peak memory while the file is read to the memory of the result. Lists grow by doubling:
/// while a list moves, its old and its new memory are both in use.
const MAX_PEAK_OVER_RESULT: f64 = 2.5;
/// The maximum memory in use while the restart-only settings are written. The longest element has a few hundred bytes.
const MAX_PEAK_TO_WRITE: usize = 16 * 1024;

fn file() -> String {
    let mut text = String::from(
        r#"{"name":"n","listen":"127.0.0.1:1","executor":"127.0.0.1:2","lookup":"127.0.0.1:3","seed":"1","stop_ms":1,
        "limits":{"cores":1,"memory_mb":64,"sockets":64},"settings":{"policy-limits":{},
        "rules":{"cold-from":0,"drain-grace-ns":1,"fall-multiple":2,"warm-within-ns":1},
        "extra":{"cores":1,"memory-kb":9,"run-mem-factor":2,"below":"tier"},"tenants":["#,
    );
    for tenant in 0..TENANTS {
        let comma = if tenant == 0 { "" } else { "," };
        let _ =
            write!(text, "{comma}\n  {{\"name\": \"tenant-{tenant:06}\", \"allowance-per-s\": {tenant}.5}}");
    }
    text.push_str("],\"categories\":[");
    for method in 0..METHODS {
        let comma = if method == 0 { "" } else { "," };
        let _ = write!(
            text,
            "{comma}\n  {{\"name\": \"method-{method}\", \"idempotency\": \"free\", \"worth\": 1.0, \
             \"on-time-ns\": 1000000, \"deadline-ns\": 2000000}}"
        );
    }
    text.push_str("]}}");
    text
}

/// Returns the result of `work`, and the increase of the bytes in use at the peak and at the end.
fn measure_memory<T>(work: impl FnOnce() -> T) -> (T, usize, usize) {
    let before = IN_USE.load(Ordering::Relaxed);
    PEAK.store(before, Ordering::Relaxed);
    let result = work();
    let (peak, after) = (PEAK.load(Ordering::Relaxed), IN_USE.load(Ordering::Relaxed));
    (result, peak - before, after - before)
}

#[test]
fn a_file_of_100_000_tenants_is_read_in_little_more_than_its_result() {
    let text = file();
    let (placement, peak, result_bytes) = measure_memory(|| Placement::read(text.as_bytes()).unwrap());
    assert!(placement.deployment.tenant("tenant-099999").is_some());
    assert_eq!(placement.deployment.method("method-9999"), Some(9_999));
    println!("{} bytes of text, {result_bytes} of result, {peak} at most", text.len());
    assert!(peak as f64 <= MAX_PEAK_OVER_RESULT * result_bytes as f64, "{peak} at most, for {result_bytes}");
    assert!(result_bytes < text.len(), "{result_bytes}");

    let (written, peak, _) =
        measure_memory(|| Placement::write_restart_only_settings(text.as_bytes(), &mut std::io::sink()));
    written.unwrap();
    assert!(peak <= MAX_PEAK_TO_WRITE, "{peak} at most");
}
