//! Seeded events produce the recorded admissions and limits, for each algorithm. A change that is to preserve all decisions
//! keeps the digest; the digest is never recorded again in order to make the test pass.

use ochrewalk_concurrency_limits::{ConcurrencyLimits, LimitAlgorithm, LimitsConfig, PoolConfig};

const SEEDS: u64 = 48;
const STEPS: usize = 4_000;
/// The digest of all admissions, limits and changes of all seeds.
const DIGEST: u64 = 13_285_809_103_065_807_640;
const ADMITTED: u64 = 71_928;

/// A 64-bit FNV-1a hash, which is simple and the same on all platforms.
struct Digest(u64);

impl Digest {
    fn new() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn add(&mut self, line: &str) {
        for byte in line.bytes().chain([b'\n']) {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

fn settings(seed: u64) -> LimitsConfig {
    let pool = |initial, min, max, uses_reserve| PoolConfig { initial, min, max, uses_reserve };
    let pools = vec![pool(4, 1, 40, true), pool(6, 2, 60, false), pool(8, 1, 12, false)];
    LimitsConfig { algorithm: LimitAlgorithm::ALL[seed as usize % 4], pools, reserve: (seed % 3) as u32 }
}

/// Runs the events of a seed and returns the digest of the run and the number of admitted calls.
fn run(seed: u64) -> (u64, u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut limits = ConcurrencyLimits::with_phase(0, &settings(seed), seed as u32);
    let (mut digest, mut admitted, mut now_us) = (Digest::new(), 0, 0);
    for step in 0..STEPS {
        now_us += rng.u64(0..40_000);
        let pool = rng.usize(0..3);
        let in_flight = limits.capacity().pools[pool].in_flight;
        // Fast and slow calls alternate every 500 steps: limits fall and recover.
        let (latency_range_us, calls_per_rejection) =
            if (step / 500).is_multiple_of(2) { (3_000, 40) } else { (40_000, 5) };
        match rng.u32(0..20) {
            0..=10 => {
                let is_admitted = limits.try_acquire(now_us, pool);
                admitted += u64::from(is_admitted);
                digest.add(&format!("{pool} {is_admitted}"));
            }
            11 if in_flight > 0 => limits.call_ignored(pool),
            _ if in_flight > 0 && rng.u32(0..calls_per_rejection) == 0 => limits.call_rejected(pool),
            _ if in_flight > 0 => limits.call_succeeded(pool, 1_000 + rng.u64(0..latency_range_us)),
            _ => {}
        }
        for change in limits.tick(now_us) {
            digest.add(&format!("{} {:.9} {:.9}", change.pool, change.from, change.to));
        }
        let capacity = limits.capacity();
        digest.add(&format!("{} {:.9} {:.9}", capacity.in_flight(), capacity.total(), limits.limit(pool)));
        digest.add(&format!("{:?}", limits.baseline_us(pool).map(|us| format!("{us:.9}"))));
    }
    (digest.0, admitted)
}

#[test]
fn seeded_events_produce_the_recorded_admissions_and_limits() {
    let (mut digest, mut admitted) = (Digest::new(), 0);
    for seed in 0..SEEDS {
        let (seed_digest, count) = run(seed);
        digest.add(&seed_digest.to_string());
        admitted += count;
    }
    assert_eq!((digest.0, admitted), (DIGEST, ADMITTED));
}
